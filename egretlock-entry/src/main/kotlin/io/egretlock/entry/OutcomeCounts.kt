package io.egretlock.entry

import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TeamName
import io.egretlock.protocol.OutcomeCount

/** Counts of job outcomes by team. Teams without settings are not counted, so that the number of counts is bounded. */
internal class OutcomeCounts {
    private val counts = mutableMapOf<TeamName, MutableMap<Ending, Long>>()

    /** Counts a job of [team] that ended with [outcome]. */
    fun add(
        team: TeamName,
        outcome: JobOutcome,
    ) {
        val ending = ending(outcome)
        if (ending.reason == Reason.UNKNOWN_TEAM.code) return
        counts.getOrPut(team) { sortedMapOf(compareBy({ it.verdict }, { it.reason })) }.merge(ending, 1, Long::plus)
    }

    /** All counts of [team]. */
    fun of(team: TeamName): List<OutcomeCount> =
        counts[team].orEmpty().map { (ending, jobs) -> OutcomeCount(ending.verdict, ending.reason, jobs) }

    private fun ending(outcome: JobOutcome): Ending =
        when (outcome) {
            is JobOutcome.Complete -> Ending("complete", "")
            is JobOutcome.WithoutAnswer -> Ending(outcome.verdict.code(), outcome.verdict.reason.code)
        }

    private data class Ending(
        val verdict: String,
        val reason: String,
    )
}
