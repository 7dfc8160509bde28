package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId

/**
 * One entry of a [RosterSimulation]: its state machine, its clock, its settled ids and the entries it inherited from.
 */
internal class SimulatedEntry(
    val member: EntryMember,
    private val clockAheadMillis: Long,
    timing: RosterTiming,
) {
    val stateMachine = RosterStateMachine(member, timing)
    val settled = mutableSetOf<JobId>()
    val inherited = mutableSetOf<ProcessId>()
    var isAlive = true
    var isLeaving = false
    var pausedUntilMillis = 0L

    fun clockMillis(nowMillis: Long): Long = nowMillis + clockAheadMillis

    /** Settles [id] if this entry may; returns whether it had not settled it before. */
    fun settle(
        id: JobId,
        createdAtMillis: Long,
        nowMillis: Long,
    ): Boolean {
        val home = stateMachine.view.homeOf(id, createdAtMillis, clockMillis(nowMillis))
        return home == JobHome.Local && !isLeaving && settled.add(id)
    }
}
