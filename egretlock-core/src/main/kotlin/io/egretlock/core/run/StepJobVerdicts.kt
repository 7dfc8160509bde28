package io.egretlock.core.run

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import kotlin.math.ceil

/** Decides which jobs a [StepJobScheduler] refuses, and what callers are told of jobs without a complete answer. */
internal class StepJobVerdicts(
    private val rooms: AgentRooms,
    private val placer: StepJobPlacer,
    private val backlog: BacklogForecaster,
    private val admission: WaitAdmission,
) {
    /** Returns why the new job [active] is refused beside the accepted [jobs]; null if it is accepted. */
    fun refusal(
        active: ActiveJob,
        jobs: Collection<ActiveJob>,
        nowMillis: Long,
    ): Verdict.NotRun? {
        val service = active.queue.service
        val unsupported = active.job.unsupported + setOf("advice").filter { active.queue.needsAdvice }
        if (unsupported.isNotEmpty()) {
            val features = unsupported.sorted().joinToString()
            return Verdict.NotRun(Reason.IMPOSSIBLE, "Jobs with these features are not served: $features.")
        }
        if (rooms.hasAgentOf(service)) {
            val tooLarge = active.job.steps.firstOrNull { !rooms.canEverHold(service, it.room) }
            if (tooLarge != null) return Verdict.NotRun(Reason.IMPOSSIBLE, "No upstream has ${tooLarge.room}.")
        }
        val slack = placer.latestStart(active) - nowMillis
        val forecast = WaitForecast(backlog.waitMillis(jobs, active, nowMillis), slack)
        if (admission.accepts(forecast)) return null
        val detail = "The wait of ${forecast.waitMillis.toLong()} ms exceeds the slack of ${slack.toLong()} ms."
        return Verdict.NotRun(Reason.OVERLOADED, detail, retryAfterMillis(active, jobs, nowMillis))
    }

    /** Returns the verdict for the accepted job [active], one of [jobs], that is given up for [reason]. */
    fun of(
        active: ActiveJob,
        jobs: Collection<ActiveJob>,
        reason: Reason,
        detail: String,
        nowMillis: Long,
    ): Verdict =
        if (active.hasStarted) {
            Verdict.MayHaveRun(reason, detail)
        } else {
            Verdict.NotRun(reason, detail, retryAfterMillis(active, jobs - active, nowMillis))
        }

    private fun retryAfterMillis(
        active: ActiveJob,
        others: Collection<ActiveJob>,
        nowMillis: Long,
    ): Long = ceil(backlog.waitMillis(others, active, nowMillis)).toLong().coerceIn(1, MAX_RETRY_AFTER_MILLIS)

    private companion object {
        const val MAX_RETRY_AFTER_MILLIS = 30_000L
    }
}
