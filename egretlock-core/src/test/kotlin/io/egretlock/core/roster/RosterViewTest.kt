package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

private const val NOW_MILLIS = 1_000_000L

class RosterViewTest {
    private val timing = RosterTiming()
    private val self = member("self")
    private val other = member("other")
    private val id = JobId("job-1")

    @Test
    fun `given no roster, when asked for a home, then it is unknown`() {
        assertEquals(JobHome.Unknown, RosterView(self, timing).homeOf(id, NOW_MILLIS, NOW_MILLIS))
    }

    @Test
    fun `given a job created before the horizon, when asked for its home, then this entry may claim it`() {
        assertEquals(JobHome.Local, view(roster(1, 0, self)).homeOf(id, NOW_MILLIS, NOW_MILLIS))
    }

    @Test
    fun `given a job created after the horizon, when asked for its home, then it is unconfirmed`() {
        val stale = view(roster(1, 0, self)).copy(horizonMillis = NOW_MILLIS)
        assertEquals(JobHome.LocalUnconfirmed, stale.homeOf(id, NOW_MILLIS, NOW_MILLIS))
    }

    @Test
    fun `given a job older than the retention, when asked for its home, then it is too old`() {
        val createdAtMillis = NOW_MILLIS - timing.retentionMillis - 1
        assertEquals(JobHome.Expired, view(roster(1, 0, self)).homeOf(id, createdAtMillis, NOW_MILLIS))
    }

    @Test
    fun `given a job created far ahead of the clock, when asked for its home, then it is from the future`() {
        val createdAtMillis = NOW_MILLIS + timing.clientAheadMillis + 1
        assertEquals(JobHome.TooNew, view(roster(1, 0, self)).homeOf(id, createdAtMillis, NOW_MILLIS))
    }

    @Test
    fun `given another roster in effect at a job's creation, when asked for its home, then that roster decides`() {
        val view = view(roster(1, 0, other), roster(2, NOW_MILLIS, self, other))
        assertEquals(JobHome.Remote(other), view.homeOf(id, NOW_MILLIS - 1, NOW_MILLIS))
    }

    @Test
    fun `given a home that was removed, when asked for it, then it is lost until the newest roster takes effect`() {
        val view = view(roster(1, 0, other), roster(2, NOW_MILLIS + 500, self))
        assertEquals(JobHome.Lost(other.entry, NOW_MILLIS + 500), view.homeOf(id, NOW_MILLIS, NOW_MILLIS))
    }

    @Test
    fun `given a home that left, when asked before its heir has the claims, then the heir is unconfirmed`() {
        val view = view(roster(1, 0, other), handovers = listOf(Handover(other.entry, self)))
        assertEquals(JobHome.LocalUnconfirmed, view.homeOf(id, NOW_MILLIS, NOW_MILLIS))
        val inherited = view.copy(inherited = setOf(other.entry))
        assertEquals(JobHome.Local, inherited.homeOf(id, NOW_MILLIS, NOW_MILLIS))
    }

    @Test
    fun `given a gained job, when the roster was stored late, then it is unconfirmed until the hold is over`() {
        val gained = roster(2, 0, self).copy(holdMillis = 3_000, storedByMillis = NOW_MILLIS - 3_000)
        val view = view(roster(1, 0, other), gained)
        val firstAllowedMillis = NOW_MILLIS + timing.clockDifferenceMillis
        assertEquals(JobHome.LocalUnconfirmed, view.homeOf(id, firstAllowedMillis - 1, NOW_MILLIS))
        assertEquals(JobHome.Local, view.homeOf(id, firstAllowedMillis, NOW_MILLIS))
    }

    private fun view(
        vararg rosters: Roster,
        handovers: List<Handover> = emptyList(),
    ) = RosterView(self, timing, RosterHistory(rosters.toList(), handovers), horizonMillis = NOW_MILLIS + 5_000)

    private fun roster(
        version: Long,
        effectiveFromMillis: Long,
        vararg members: EntryMember,
    ) = Roster(version, effectiveFromMillis, members.toList())

    private fun member(name: String) = EntryMember(ProcessId(name, 1), NodeAddress("127.0.0.1", 7000))
}
