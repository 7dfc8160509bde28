package io.egretlock.core.placement

/**
 * Order between the two task classes. The long class gets [longShare] of the contended work, the short class the rest.
 * A class that had no waiting tasks does not catch up on the work that it missed.
 */
internal class ClassOrder {
    private var shortVirtualTime = 0.0
    private var longVirtualTime = 0.0

    /** Share of contended work that goes to long tasks. */
    var longShare = 0.5
        set(value) {
            field = value.coerceIn(SMALLEST_SHARE, 1 - SMALLEST_SHARE)
        }

    /** Returns the class to serve first while both have waiting tasks. */
    fun first(): TaskClass = if (shortVirtualTime <= longVirtualTime) TaskClass.SHORT else TaskClass.LONG

    /** Counts the start of a task. [isContended] is whether the other class has waiting tasks that could start. */
    fun countStart(
        taskClass: TaskClass,
        workMillis: Double,
        isContended: Boolean,
    ) {
        when (taskClass) {
            TaskClass.SHORT -> shortVirtualTime += workMillis / (1 - longShare)
            TaskClass.LONG -> longVirtualTime += workMillis / longShare
        }
        if (!isContended) {
            val larger = maxOf(shortVirtualTime, longVirtualTime)
            shortVirtualTime = larger
            longVirtualTime = larger
        }
    }

    private companion object {
        const val SMALLEST_SHARE = 0.05
    }
}
