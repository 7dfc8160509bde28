package io.egretlock.agent

import io.egretlock.protocol.AgentHello

/** Answer of the [Agent] to a [DialRequested] of an [EntryDialer]. */
internal sealed interface DialPermission {
    /** The address may be dialled; [hello] is the first message to send. */
    data class Dial(
        val hello: AgentHello,
    ) : DialPermission

    /** The entry at the address is connected under another address; the dialer asks again later. */
    data object Wait : DialPermission

    /** The address must no longer be dialled. */
    data object Stop : DialPermission
}
