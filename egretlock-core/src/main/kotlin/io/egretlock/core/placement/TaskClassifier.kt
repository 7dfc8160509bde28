package io.egretlock.core.placement

import io.egretlock.core.job.OperationName

/** Class of a task by its run time. Long tasks may hold only a share of all slots. */
enum class TaskClass { SHORT, LONG }

/** Assigns a class to each operation. */
interface TaskClassifier {
    /** Returns the current class of [operation]. */
    fun classOf(operation: OperationName): TaskClass

    /** Records the new typical run time of [operation]. */
    fun update(
        operation: OperationName,
        typicalMillis: Double,
    )
}

/** Treats every task as short; the baseline with which [GapClassifier] is compared. */
class ShortOnlyClassifier : TaskClassifier {
    override fun classOf(operation: OperationName): TaskClass = TaskClass.SHORT

    override fun update(
        operation: OperationName,
        typicalMillis: Double,
    ) = Unit
}

/**
 * Separates short from long operations at the widest gap (the largest ratio) between neighbouring typical run times.
 * The gap must be a ratio of at least [LONG_RATIO]; without such a gap, every operation is short.
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
