package io.egretlock.core.placement

/**
 * Shares contended slots between the two classes, the long class getting [longShare] of the work and the short class
 * the rest. A class without waiting tasks gains no claim on later slots.
 */
internal class ClassOrder {
    private var shortServed = 0.0
    private var longServed = 0.0

    /** Share of contended work that goes to long tasks. */
    var longShare = 0.5
        set(value) {
            field = value.coerceIn(SMALLEST_SHARE, 1 - SMALLEST_SHARE)
        }

    /** The class to serve first while both have waiting tasks. */
    fun first(): TaskClass = if (shortServed <= longServed) TaskClass.SHORT else TaskClass.LONG

    /** Counts the start of a task. [isContended] tells whether the other class has waiting tasks that could start. */
    fun started(
        taskClass: TaskClass,
        workMillis: Double,
        isContended: Boolean,
    ) {
        when (taskClass) {
            TaskClass.SHORT -> shortServed += workMillis / (1 - longShare)
            TaskClass.LONG -> longServed += workMillis / longShare
        }
        if (!isContended) {
            val larger = maxOf(shortServed, longServed)
            shortServed = larger
            longServed = larger
        }
    }

    private companion object {
        const val SMALLEST_SHARE = 0.05
    }
}
