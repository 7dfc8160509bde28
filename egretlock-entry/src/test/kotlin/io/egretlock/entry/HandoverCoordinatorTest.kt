package io.egretlock.entry

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.Handover
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.roster.Roster
import io.egretlock.core.roster.RosterHistory
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.HandoverReply
import io.egretlock.protocol.Message
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

class HandoverCoordinatorTest {
    private val job = Job(JobId("a"), TeamName("team"), ServiceName("checks"), 0, 1, emptyList())

    @Test
    fun `given two entries, when both leave at once, then one hands over and the other refuses new jobs as not run`() =
        withEntries(2) { (smaller, greater) ->
            leaveAtOnce(smaller, greater)
            assertEquals(listOf(Handover(greater.self.entry, smaller.self)), smaller.handovers())
            assertEquals(SubmitReply.Redirect(smaller.self), greater.submit(job))
            val ended = assertInstanceOf(SubmitReply.Ended::class.java, smaller.submit(job))
            assertInstanceOf(Verdict.NotRun::class.java, (ended.outcome as JobOutcome.WithoutAnswer).verdict)
        }

    @Test
    fun `given three entries, when two leave at once, then the third one claims for both`() =
        withEntries(3) { (first, second, third) ->
            leaveAtOnce(first, second)
            assertEquals(third.self, lastHolder(first))
            assertEquals(third.self, lastHolder(second))
        }

    @Test
    fun `given an heir that does not answer, when it cannot have taken over, then another entry is asked`() =
        withEntries(3) { (leaver) ->
            isFirstCandidateSilent = true
            leaver.coordinator.begin()
            val answering = all.single { it != leaver && it.self != silentMember }
            assertEquals(SubmitReply.Redirect(answering.self), leaver.submit(job))
        }

    @Test
    fun `given an heir that took over, when its answer is lost, then the same heir is asked again`() =
        withEntries(2) { (leaver, heir) ->
            lostAnswersToLastParts = 1
            leaver.coordinator.begin()
            assertEquals(SubmitReply.Redirect(heir.self), leaver.submit(job))
            assertEquals(listOf(Handover(leaver.self.entry, heir.self)), leaver.handovers())
        }

    @Test
    fun `given an heir that did not answer, when a later process at its address refuses, then no other is asked`() =
        withEntries(3) { (leaver) ->
            lostAnswersToLastParts = 1
            isFirstCandidateReplaced = true
            leaver.coordinator.begin()
            val heir =
                all.single {
                    it.roster.view.inherited
                        .isNotEmpty()
                }
            assertEquals(SubmitReply.Redirect(heir.self), leaver.submit(job))
        }

    private fun withEntries(
        count: Int,
        body: suspend Entries.(List<InMemoryEntry>) -> Unit,
    ) = runBlocking {
        val entries = Entries(this)
        entries.start(count)
        entries.body(entries.all)
        coroutineContext.cancelChildren()
    }

    /** Entries in one process; each call between them takes [CALL_MILLIS]. */
    private class Entries(
        private val scope: CoroutineScope,
    ) : PeerCalls {
        private var requests = 0L
        var silentMember: EntryMember? = null
        var isFirstCandidateSilent = false
        var isFirstCandidateReplaced = false
        var lostAnswersToLastParts = 0
        var all = emptyList<InMemoryEntry>()

        suspend fun start(count: Int) {
            val members = (1..count).map { EntryMember(ProcessId("entry-$it", 1), NodeAddress("127.0.0.1", it)) }
            all = members.map { InMemoryEntry(it, this, scope) }
            all.forEach { it.start(RosterHistory(listOf(Roster(1, 0, members)))) }
        }

        private fun refusalOfLaterProcess(part: ClaimHandover) =
            HandoverReply(part.request, part.heir.copy(incarnation = part.heir.incarnation + 1), accepted = false)

        suspend fun leaveAtOnce(vararg leavers: InMemoryEntry) =
            coroutineScope { leavers.forEach { launch { it.coordinator.begin() } } }

        suspend fun lastHolder(leaver: InMemoryEntry): EntryMember {
            val holder = all.single { it.self == leaver.heir() }
            return if (holder.handovers().any { it.from == holder.self.entry }) lastHolder(holder) else holder.self
        }

        fun InMemoryEntry.handovers() =
            roster.view.history
                ?.handovers
                .orEmpty()

        private fun InMemoryEntry.heir() = handovers().single { it.from == self.entry }.heir

        override suspend fun call(
            member: EntryMember,
            timeoutMillis: Long,
            message: (Long) -> Message,
        ): Message? {
            delay(CALL_MILLIS)
            if (isFirstCandidateSilent && silentMember == null) silentMember = member
            if (member == silentMember) return null
            val part = message(++requests) as ClaimHandover
            if (isFirstCandidateReplaced && lostAnswersToLastParts == 0) return refusalOfLaterProcess(part)
            val reply = all.single { it.self == member }.receive(part)
            val isLost = part.owners.isNotEmpty() && lostAnswersToLastParts > 0
            if (isLost) lostAnswersToLastParts--
            return reply.takeIf { !isLost }
        }
    }

    private companion object {
        const val CALL_MILLIS = 10L
    }
}
