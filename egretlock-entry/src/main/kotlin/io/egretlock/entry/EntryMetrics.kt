package io.egretlock.entry

import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counts what an entry does, for `/metrics`. */
internal class EntryMetrics(
    private val registry: PrometheusRegistry,
) {
    private val requests =
        Counter
            .builder()
            .name("egretlock_entry_job_requests_total")
            .help("Submissions answered, by team, verdict and reason.")
            .labelNames("team", "verdict", "reason")
            .register(registry)
    private val messages =
        Counter
            .builder()
            .name("egretlock_entry_agent_messages_total")
            .help("Messages exchanged with agents, by direction and kind.")
            .labelNames("direction", "kind")
            .register(registry)

    /** Reports the number of jobs that have not ended, as [value] gives it. */
    fun observeLiveJobs(value: () -> Int) {
        GaugeWithCallback
            .builder()
            .name("egretlock_entry_live_jobs")
            .help("Jobs at this home that have not ended.")
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** A submission of [team] was answered. */
    fun answered(
        team: String,
        outcome: JobOutcome,
    ) {
        when (outcome) {
            is JobOutcome.Complete -> requests.labelValues(team, "complete", "").inc()
            is JobOutcome.WithoutAnswer -> withoutAnswer(team, outcome.verdict)
        }
    }

    /** Unknown team names are folded into one, so that callers cannot create labels. */
    private fun withoutAnswer(
        team: String,
        verdict: Verdict,
    ) {
        val label = if (verdict.reason == Reason.UNKNOWN_TEAM) "unknown" else team
        requests.labelValues(label, verdict.code(), verdict.reason.code).inc()
    }

    /** A message was sent to an agent. */
    fun sent(kind: String) = messages.labelValues("sent", kind).inc()

    /** A message of an agent arrived. */
    fun received(kind: String) = messages.labelValues("received", kind).inc()
}

/** Stable name of a verdict, as in answers. */
internal fun Verdict.code(): String =
    when (this) {
        is Verdict.NotRun -> "not-run"
        is Verdict.MayHaveRun -> "may-have-run"
        is Verdict.Failed -> "failed"
    }
