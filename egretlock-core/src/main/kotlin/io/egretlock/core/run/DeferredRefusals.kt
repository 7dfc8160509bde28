package io.egretlock.core.run

/**
 * Refusals of runs because of another run of the same task. An entry places a task elsewhere once its run is refused, so
 * they are reported only when the other run is over.
 */
internal class DeferredRefusals {
    private val refusals = HashMap<StepTask, MutableList<LedgerEffect.ReportEnd>>()

    /** Adds a refusal. */
    fun add(refusal: LedgerEffect.ReportEnd) {
        refusals.getOrPut(refusal.run.task) { mutableListOf() } += refusal
    }

    /** Removes and returns the refusals of runs of [task], which has no other run any more. */
    fun removeAll(task: StepTask): List<LedgerEffect.ReportEnd> = refusals.remove(task).orEmpty()

    /** Removes and returns the refusal of [run], which its entry no longer wants. */
    fun remove(run: RunId): List<LedgerEffect.ReportEnd> {
        val ofTask = refusals[run.task] ?: return emptyList()
        val removed = ofTask.filter { it.run == run }
        ofTask -= removed.toSet()
        if (ofTask.isEmpty()) refusals -= run.task
        return removed
    }
}
