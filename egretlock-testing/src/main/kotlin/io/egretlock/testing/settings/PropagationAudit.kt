package io.egretlock.testing.settings

/** An edit that an entry accepted, at a moment of the monotonic clock. */
data class AcceptedEdit(
    val revision: Long,
    val atMillis: Long,
)

/** Time during which the store was down or slow. */
data class StoreOutage(
    val fromMillis: Long,
    val untilMillis: Long,
)

/** Checks recorded revisions: each accepted edit is in force in time everywhere, and no revision goes down. */
class PropagationAudit(
    samples: List<RevisionSample>,
    private val edits: List<AcceptedEdit>,
    private val outages: List<StoreOutage>,
    private val allowedMillis: Long,
) {
    private val runs = samples.groupBy { it.process to it.pid }.values

    /** One line for each fault. */
    fun faults(): List<String> = runs.flatMap { run -> reversals(run) + run.latenesses() }

    /** Longest time from an acceptance, or from what excused a delay, until the edit was in force in a process. */
    fun longestMillis(): Long =
        runs.flatMap { run -> edits.mapNotNull { edit -> run.delayMillis(edit) } }.maxOrNull() ?: 0

    private fun reversals(run: List<RevisionSample>): List<String> =
        run
            .zipWithNext()
            .filter { (before, after) -> after.revision < before.revision }
            .map { (before, after) -> "${after.process}: revision ${before.revision} went down to ${after.revision}" }

    private fun List<RevisionSample>.latenesses(): List<String> =
        edits.mapNotNull { edit ->
            val late = (delayMillis(edit) ?: 0) > allowedMillis
            if (late) "${first().process} (${first().pid}): revision ${edit.revision} late" else null
        }

    /** Null if the run ended before it had to have the edit in force. */
    private fun List<RevisionSample>.delayMillis(edit: AcceptedEdit): Long? {
        val countsFrom = countsFrom(maxOf(edit.atMillis, first().atMillis))
        val inForce = firstOrNull { it.revision >= edit.revision }?.atMillis
        return when {
            inForce != null -> maxOf(0, inForce - countsFrom)
            last().atMillis > countsFrom + allowedMillis -> last().atMillis - countsFrom
            else -> null
        }
    }

    /** The end of an outage that began before the allowed time was over, else [fromMillis]. */
    private fun countsFrom(fromMillis: Long): Long =
        outages
            .filter { it.untilMillis > fromMillis && it.fromMillis < fromMillis + allowedMillis }
            .maxOfOrNull { it.untilMillis }
            ?: fromMillis
}
