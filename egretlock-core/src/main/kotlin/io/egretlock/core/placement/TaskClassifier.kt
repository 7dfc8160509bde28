package io.egretlock.core.placement

import io.egretlock.core.job.OperationName

/** Class of a task. Long tasks may hold only a share of all slots. */
enum class TaskClass { SHORT, LONG }

/** Decides the class of an operation. */
interface TaskClassifier {
    /** Class of [operation] as known now. */
    fun classOf(operation: OperationName): TaskClass

    /** Takes note of the typical run time of [operation], which has just changed. */
    fun update(
        operation: OperationName,
        typicalMillis: Double,
    )
}

/** Treats every task as short: the baseline for [GapClassifier]. */
class SingleClassifier : TaskClassifier {
    override fun classOf(operation: OperationName): TaskClass = TaskClass.SHORT

    override fun update(
        operation: OperationName,
        typicalMillis: Double,
    ) = Unit
}

/**
 * Separates operations at the widest gap between their typical run times, where the longer side takes at least
 * [LONG_RATIO] times as long as the shorter one. Without such a gap every operation is short.
 */
class GapClassifier : TaskClassifier {
    private val typicalMillis = HashMap<OperationName, Double>()
    private var smallestLongMillis = Double.POSITIVE_INFINITY
    private var updates = 0

    override fun classOf(operation: OperationName): TaskClass {
        val typical = typicalMillis[operation] ?: return TaskClass.SHORT
        return if (typical >= smallestLongMillis) TaskClass.LONG else TaskClass.SHORT
    }

    override fun update(
        operation: OperationName,
        typicalMillis: Double,
    ) {
        val isNew = operation !in this.typicalMillis
        if (isNew && this.typicalMillis.size >= OPERATIONS_LIMIT) return
        this.typicalMillis[operation] = typicalMillis
        updates++
        if (isNew || updates % REFRESH_INTERVAL == 0) smallestLongMillis = findGap()
    }

    private fun findGap(): Double {
        val sorted = typicalMillis.values.sorted()
        val (shorter, longer) =
            sorted.zipWithNext().maxByOrNull { (low, high) -> high / low }
                ?: return Double.POSITIVE_INFINITY
        return if (longer / shorter >= LONG_RATIO) (shorter + longer) / 2 else Double.POSITIVE_INFINITY
    }

    private companion object {
        const val LONG_RATIO = 6.0
        const val REFRESH_INTERVAL = 32
        const val OPERATIONS_LIMIT = 256
    }
}
