package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId

/** Estimates of the run times of one service, in milliseconds on an agent of slowness 1. */
interface RunTimes {
    /** Whether at least one run has been recorded. */
    val hasLearned: Boolean

    /** Expected run time of one task. [declaredMillis] counts only while nothing has been learned. */
    fun expectedMillis(
        operation: OperationName,
        declaredMillis: Long?,
    ): Double

    /** Typical (median) run time of [operation]; null while unknown. */
    fun typicalMillis(operation: OperationName): Double?

    /** Run time that about one run of [operation] in a hundred exceeds, on any agent; 0 while unknown. */
    fun tailMillis(operation: OperationName): Double

    /** Shortest run of [operation] so far; null while unknown. */
    fun shortestMillis(operation: OperationName): Long?

    /** Run time on [agent] relative to the average agent; larger is slower, 1 while unknown. */
    fun slowness(agent: ProcessId): Double

    /** Records a run that succeeded. */
    fun record(
        operation: OperationName,
        agent: ProcessId,
        runMillis: Long,
    )
}

/** Run times exactly as declared, on agents of equal speed: the baseline for [RunTimeLearner]. */
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
