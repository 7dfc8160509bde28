package io.egretlock.agent

import io.egretlock.core.gate.SlotLedger
import io.egretlock.core.gate.StartGate
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.Verdict
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Prometheus metrics of an agent. */
internal class AgentMetrics(
    val registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val starts = counter("egretlock_agent_starts", "Tasks handed to the upstream.")
    private val refusals = counter("egretlock_agent_refused_starts", "Starts refused: the task did not start.")
    private val duplicates = counter("egretlock_agent_duplicate_starts", "Starts ignored as repeated.")
    private val stops = counter("egretlock_agent_stops", "Requests to the upstream to stop a task.")
    private val ends = counter("egretlock_agent_ended_tasks", "Tasks ended, by outcome.", "outcome")
    private val running = gauge("egretlock_agent_running_tasks", "Tasks that the upstream runs.")
    private val granted = gauge("egretlock_agent_granted_credits", "Credits granted and not spent.")
    private val unacknowledged = gauge("egretlock_agent_unacknowledged_answers", "Answers not yet acknowledged.")
    private val remembered = gauge("egretlock_agent_remembered_tasks", "Tasks in the start gate's memory.")
    private val entries = gauge("egretlock_agent_connected_entries", "Entries connected.")

    fun countStart() = starts.inc()

    fun countRefusal() = refusals.inc()

    fun countDuplicate() = duplicates.inc()

    fun countStop() = stops.inc()

    /** Counts a task that ended. */
    fun countEnd(outcome: TaskOutcome) =
        ends
            .labelValues(
                when (outcome) {
                    is TaskOutcome.Succeeded -> "succeeded"
                    is TaskOutcome.Ended -> verdictLabel(outcome.verdict)
                },
            ).inc()

    /** Sets the gauges to the present state of [gate], [ledger] and the connections. */
    fun observe(
        gate: StartGate,
        ledger: SlotLedger,
        connectedEntries: Int,
    ) {
        running.set(gate.running.size.toDouble())
        granted.set(ledger.granted.toDouble())
        unacknowledged.set(gate.unacknowledged.size.toDouble())
        remembered.set(gate.size.toDouble())
        entries.set(connectedEntries.toDouble())
    }

    private fun verdictLabel(verdict: Verdict): String =
        when (verdict) {
            is Verdict.NotRun -> "not-run"
            is Verdict.MayHaveRun -> "may-have-run"
            is Verdict.Failed -> "failed"
        }

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)

    private fun gauge(
        name: String,
        help: String,
    ): Gauge =
        Gauge
            .builder()
            .name(name)
            .help(help)
            .register(registry)
}
