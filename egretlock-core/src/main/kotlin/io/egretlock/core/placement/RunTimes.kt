package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId

/** Estimates of the run times of one service, in milliseconds on an agent of slowness 1 unless stated otherwise. */
interface RunTimes {
    /** Whether at least one run has been recorded. */
    val hasLearned: Boolean

    /** Returns the expected run time of one task. [declaredMillis] counts only until a run has been recorded. */
    fun expectedMillis(
        operation: OperationName,
        declaredMillis: Long?,
    ): Double

    /** Returns the typical (median) run time of [operation]; null while unknown. */
    fun typicalMillis(operation: OperationName): Double?

    /** Returns the 99th percentile of the run times of [operation] over all agents; 0 while unknown. */
    fun tailMillis(operation: OperationName): Double

    /** Returns the shortest recorded run time of [operation], on any agent; null while unknown. */
    fun shortestMillis(operation: OperationName): Long?

    /** Returns the run time on [agent] relative to the average agent; larger is slower, 1 while unknown. */
    fun slowness(agent: ProcessId): Double

    /** Records a successful run. */
    fun record(
        operation: OperationName,
        agent: ProcessId,
        runMillis: Long,
    )
}

/** Run times as declared, on agents of equal speed; the baseline with which [RunTimeLearner] is compared. */
class DeclaredRunTimes : RunTimes {
    override val hasLearned: Boolean = false

    override fun expectedMillis(
        operation: OperationName,
        declaredMillis: Long?,
    ): Double = (declaredMillis ?: DEFAULT_RUN_MILLIS).coerceAtLeast(1).toDouble()

    override fun typicalMillis(operation: OperationName): Double? = null

    override fun tailMillis(operation: OperationName): Double = 0.0

    override fun shortestMillis(operation: OperationName): Long? = null

    override fun slowness(agent: ProcessId): Double = 1.0

    override fun record(
        operation: OperationName,
        agent: ProcessId,
        runMillis: Long,
    ) = Unit

    internal companion object {
        const val DEFAULT_RUN_MILLIS = 500L
    }
}
