package io.egretlock.entry

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.RosterInput
import io.egretlock.protocol.HistoryUpdate
import io.egretlock.protocol.JoinRequest
import io.egretlock.protocol.Message
import io.egretlock.protocol.PromiseReply
import io.egretlock.protocol.PromiseRequest
import io.egretlock.protocol.SettingsUpdate
import io.egretlock.protocol.Welcome

/** Routes messages and events of peers, on connections of either direction, to the components that handle them. */
internal class PeerMessageRouter(
    private val settings: SettingsTracker,
    private val roster: (RosterInput) -> Unit,
) : PeerListener {
    override fun openingMessages(): List<Message> = listOf(SettingsUpdate(settings.table.all()))

    override fun reachable(entry: ProcessId) = roster(RosterInput.PeerReachable(entry))

    override fun unreachable(
        entry: ProcessId,
        hasEnded: Boolean,
    ) = roster(RosterInput.PeerUnreachable(entry, hasEnded))

    override fun received(message: Message) {
        when (message) {
            is Welcome -> settings.applyNewer(message.settings)
            is SettingsUpdate -> settings.applyNewer(message.settings)
            is HistoryUpdate -> roster(RosterInput.HistoryReceived(message.history))
            is PromiseRequest -> roster(RosterInput.PromiseRequested(message.question))
            is PromiseReply -> roster(RosterInput.PromiseReceived(message.from, message.question))
            is JoinRequest -> roster(RosterInput.JoinRequested(message.member))
            else -> Unit
        }
    }
}
