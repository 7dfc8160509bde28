package io.egretlock.agent

import io.egretlock.protocol.AgentHello

/** What the [Agent] says to a dialler that is about to dial its address. */
internal sealed interface DialPermission {
    /** Dial, and send [hello] first. */
    data class Dial(
        val hello: AgentHello,
    ) : DialPermission

    /** The entry at the address is connected under another one: ask again later. */
    data object Wait : DialPermission

    /** The address is not to be dialled any more. */
    data object Stop : DialPermission
}
