package io.egretlock.entry

import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.Message

/** Requests to other entries. */
internal interface PeerCalls {
    /**
     * Sends a request to [member], again after each reconnection, and waits for its reply. Null if there is none within
     * [timeoutMillis], or if the member stays unreachable or has left the roster. [message] makes the request from its
     * number.
     */
    suspend fun call(
        member: EntryMember,
        timeoutMillis: Long,
        message: (Long) -> Message,
    ): Message?
}
