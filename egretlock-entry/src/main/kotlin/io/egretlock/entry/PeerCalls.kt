package io.egretlock.entry

import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.Message

/** Requests to other entries. */
internal interface PeerCalls {
    /**
     * Sends a request to [member], and again after each reconnection, and waits for its reply. Null if there is no
     * reply within [timeoutMillis], or if the member stays unreachable or has left the roster. [message] creates the
     * request from its request number.
     */
    suspend fun call(
        member: EntryMember,
        timeoutMillis: Long,
        message: (Long) -> Message,
    ): Message?
}
