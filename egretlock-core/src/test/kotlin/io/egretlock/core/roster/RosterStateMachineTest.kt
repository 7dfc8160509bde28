package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val NOW_MILLIS = 1_000_000L

class RosterStateMachineTest {
    private val timing = RosterTiming()
    private val self = member("self", 7001)
    private val other = member("other", 7002)
    private val stateMachine = RosterStateMachine(self, timing)

    @Test
    fun `given an empty store, when read, then the first roster is published`() {
        val outputs = stateMachine.accept(RosterInput.StoreRead(NOW_MILLIS, null, 0), NOW_MILLIS)
        val first = RosterHistory(listOf(Roster(1, 0, listOf(self))))
        assertTrue(RosterOutput.Publish(first, expectedRevision = 0) in outputs, "$outputs")
    }

    @Test
    fun `given an entry that is not a member, when a member answers, then it asks that member to add it`() {
        read(RosterHistory(listOf(Roster(1, 0, listOf(other)))))
        stateMachine.accept(RosterInput.PeerReachable(other.entry), NOW_MILLIS)
        stateMachine.accept(RosterInput.StoreUnavailable, NOW_MILLIS)
        val outputs = stateMachine.accept(RosterInput.Tick, NOW_MILLIS + timing.confirmMillis)
        assertTrue(RosterOutput.RequestJoin(other) in outputs, "$outputs")
    }

    @Test
    fun `given a join request, when a roster is published, then it takes effect after window and margins`() {
        read(RosterHistory(listOf(Roster(1, 0, listOf(self)))))
        val outputs = stateMachine.accept(RosterInput.JoinRequested(other), NOW_MILLIS)
        val published =
            outputs
                .filterIsInstance<RosterOutput.Publish>()
                .single()
                .history.newest
        val effectiveFromMillis =
            NOW_MILLIS + timing.publicationMillis + timing.windowMillis + timing.clockDifferenceMillis
        assertEquals(Roster(2, effectiveFromMillis, listOf(self, other), timing.windowMillis), published)
    }

    @Test
    fun `given an unreachable member, when the time to its removal has passed, then it is removed`() {
        read(RosterHistory(listOf(Roster(1, 0, listOf(self, other)))))
        stateMachine.accept(RosterInput.PeerUnreachable(other.entry, hasEnded = false), NOW_MILLIS)
        assertEquals(emptyList<Any>(), publications(RosterInput.Tick, NOW_MILLIS + timing.lostAfterMillis - 1))
        val published = publications(RosterInput.Tick, NOW_MILLIS + timing.lostAfterMillis).single()
        assertEquals(listOf(self), published.newest.members)
    }

    @Test
    fun `given no member that answers, when the roster is taken over, then it is held back until promises expire`() {
        read(RosterHistory(listOf(Roster(1, 0, listOf(other)))))
        val published = publications(RosterInput.Tick, NOW_MILLIS + timing.takeOverAfterMillis).single()
        assertEquals(timing.promiseLimitMillis, published.newest.holdMillis)
    }

    @Test
    fun `given members that have ended, when the roster is taken over, then the hold is the window only`() {
        val history = RosterHistory(listOf(Roster(1, 0, listOf(member("self", 7001, incarnation = 0)))))
        val published = publications(RosterInput.StoreRead(NOW_MILLIS, history, revision = 1), NOW_MILLIS).single()
        assertEquals(timing.windowMillis, published.newest.holdMillis)
    }

    @Test
    fun `given a publication without answer, when the old roster is read, then no promise is given`() {
        val history = RosterHistory(listOf(Roster(1, 0, listOf(self, other))))
        read(history)
        stateMachine.accept(RosterInput.JoinRequested(member("third", 7003)), NOW_MILLIS)
        stateMachine.accept(RosterInput.PublicationEnded, NOW_MILLIS)
        read(history)
        val question = PromiseQuestion(other.entry, number = 1, version = 1)
        val outputs = stateMachine.accept(RosterInput.PromiseRequested(question), NOW_MILLIS)
        assertEquals(emptyList<Any>(), outputs.filterIsInstance<RosterOutput.SendPromise>())
    }

    @Test
    fun `given the store is down, when all members promise, then the horizon moves on`() {
        read(RosterHistory(listOf(Roster(1, 0, listOf(self, other)))))
        val laterMillis = NOW_MILLIS + timing.windowMillis
        val question =
            stateMachine
                .accept(RosterInput.StoreUnavailable, laterMillis)
                .filterIsInstance<RosterOutput.RequestPromises>()
                .single()
                .question
        assertEquals(NOW_MILLIS + timing.windowMillis, stateMachine.view.horizonMillis)
        stateMachine.accept(RosterInput.PromiseReceived(other.entry, question), laterMillis)
        assertEquals(laterMillis + timing.windowMillis, stateMachine.view.horizonMillis)
    }

    @Test
    fun `given an entry that left, when it leaves again with another heir, then the first heir is kept`() {
        read(RosterHistory(listOf(Roster(1, 0, listOf(self, other)))))
        stateMachine.accept(RosterInput.Leave(other), NOW_MILLIS)
        stateMachine.accept(RosterInput.Leave(member("third", 7003)), NOW_MILLIS)
        assertEquals(
            listOf(Handover(self.entry, other)),
            stateMachine.view.history
                ?.handovers,
        )
    }

    private fun read(history: RosterHistory) =
        stateMachine.accept(RosterInput.StoreRead(NOW_MILLIS, history, revision = 1), NOW_MILLIS)

    private fun publications(
        input: RosterInput,
        nowMillis: Long,
    ): List<RosterHistory> =
        stateMachine.accept(input, nowMillis).filterIsInstance<RosterOutput.Publish>().map { it.history }

    private fun member(
        name: String,
        port: Int,
        incarnation: Long = 1,
    ) = EntryMember(ProcessId(name, incarnation), NodeAddress("127.0.0.1", port))
}
