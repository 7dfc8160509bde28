package io.egretlock.testing.settings

/** An edit that an entry accepted; [atMillis] is a time of the monotonic clock. */
data class AcceptedEdit(
    val revision: Long,
    val atMillis: Long,
)

/** Period during which the store was down or slow, in times of the monotonic clock. */
data class StoreOutage(
    val fromMillis: Long,
    val untilMillis: Long,
)

/** Checks that every process has each accepted edit in force within [allowedMillis], and that no revision decreases. */
class PropagationAudit(
    samples: List<RevisionSample>,
    private val edits: List<AcceptedEdit>,
    private val outages: List<StoreOutage>,
    private val allowedMillis: Long,
) {
    private val runs = samples.groupBy { it.process to it.pid }.values

    /** Faults found, one line each. */
    fun faults(): List<String> = runs.flatMap { run -> decreases(run) + run.lateEdits() }

    /** Longest delay from the acceptance of an edit, or the end of an outage, until it was in force in a process. */
    fun longestDelayMillis(): Long =
        runs.flatMap { run -> edits.mapNotNull { edit -> run.delayMillis(edit) } }.maxOrNull() ?: 0

    private fun decreases(run: List<RevisionSample>): List<String> =
        run
            .zipWithNext()
            .filter { (before, after) -> after.revision < before.revision }
            .map { (before, after) -> "${after.process}: revision ${before.revision} went down to ${after.revision}" }

    private fun List<RevisionSample>.lateEdits(): List<String> =
        edits.mapNotNull { edit ->
            val late = (delayMillis(edit) ?: 0) > allowedMillis
            if (late) "${first().process} (${first().pid}): revision ${edit.revision} late" else null
        }

    /** Null if the process ended before the allowed time was over. */
    private fun List<RevisionSample>.delayMillis(edit: AcceptedEdit): Long? {
        val startMillis = delayStart(maxOf(edit.atMillis, first().atMillis))
        val inForce = firstOrNull { it.revision >= edit.revision }?.atMillis
        return when {
            inForce != null -> maxOf(0, inForce - startMillis)
            last().atMillis > startMillis + allowedMillis -> last().atMillis - startMillis
            else -> null
        }
    }

    /** The end of an outage that began before the allowed time was over, else [fromMillis]. */
    private fun delayStart(fromMillis: Long): Long =
        outages
            .filter { it.untilMillis > fromMillis && it.fromMillis < fromMillis + allowedMillis }
            .maxOfOrNull { it.untilMillis }
            ?: fromMillis
}
