package io.egretlock.entry

import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** The metrics of an entry, exposed at `/metrics`. */
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

    /** Registers a gauge that reads the number of live jobs from [value]. */
    fun observeLiveJobs(value: () -> Int) {
        GaugeWithCallback
            .builder()
            .name("egretlock_entry_live_jobs")
            .help("Jobs at this home that have not ended.")
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** Counts an answered submission of [team]. */
    fun answered(
        team: String,
        outcome: JobOutcome,
    ) {
        when (outcome) {
            is JobOutcome.Complete -> requests.labelValues(team, "complete", "").inc()
            is JobOutcome.WithoutAnswer -> withoutAnswer(team, outcome.verdict)
        }
    }

    /** All unknown team names share one label, so that callers cannot create labels. */
    private fun withoutAnswer(
        team: String,
        verdict: Verdict,
    ) {
        val label = if (verdict.reason == Reason.UNKNOWN_TEAM) "unknown" else team
        requests.labelValues(label, verdict.code(), verdict.reason.code).inc()
    }

    /** Counts a message of [kind] sent to an agent. */
    fun sent(kind: String) = messages.labelValues("sent", kind).inc()

    /** Counts a message of [kind] received from an agent. */
    fun received(kind: String) = messages.labelValues("received", kind).inc()
}

/** The stable name of a verdict in answers and metrics. */
internal fun Verdict.code(): String =
    when (this) {
        is Verdict.NotRun -> "not-run"
        is Verdict.MayHaveRun -> "may-have-run"
        is Verdict.Failed -> "failed"
    }
