package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId

/** The runs of a [RunLedger] that were accepted and have not ended, in the order of their acceptance. */
class LedgerRuns internal constructor() {
    private val runs = LinkedHashMap<RunId, LedgerRun>()

    /** Number of runs that hold room. */
    val size: Int
        get() = runs.size

    /** Entries that ordered the runs. */
    val entries: Set<ProcessId>
        get() = runs.values.mapTo(HashSet()) { it.entry }

    /** Room that the runs hold. */
    internal val room: Room
        get() = runs.values.fold(Room.NONE) { sum, run -> sum + run.ordered.room }

    internal val all: List<LedgerRun>
        get() = runs.values.toList()

    operator fun contains(run: RunId): Boolean = run in runs

    /** Returns the entries that ordered runs of [task], by run number. */
    fun entriesOf(task: StepTask): Map<Int, ProcessId> = ofTask(task).associate { it.id.number to it.entry }

    /** Records that no entry but [entry] works on [job], so that its runs may go on. */
    fun confirm(
        entry: ProcessId,
        job: JobId,
    ) = orderedBy(entry).filter { it.id.task.job == job }.forEach { it.confirmUntilMillis = null }

    internal operator fun get(run: RunId): LedgerRun? = runs[run]

    internal fun add(run: LedgerRun) {
        runs[run.id] = run
    }

    internal fun remove(run: LedgerRun) {
        runs.remove(run.id)
    }

    internal fun ofTask(task: StepTask): List<LedgerRun> = runs.values.filter { it.id.task == task }

    internal fun orderedBy(entry: ProcessId): List<LedgerRun> = runs.values.filter { it.entry == entry }
}
