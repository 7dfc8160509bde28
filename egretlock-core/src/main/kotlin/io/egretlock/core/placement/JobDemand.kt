package io.egretlock.core.placement

import io.egretlock.core.job.Job

/**
 * Expected work of a job by class, in milliseconds on an agent of slowness 1, and the largest of the tail run times of
 * its operations.
 */
internal data class JobDemand(
    val shortMillis: Double,
    val longMillis: Double,
    val tailMillis: Double,
) {
    val workMillis: Double
        get() = shortMillis + longMillis

    companion object {
        /** Adds up the expected work of the tasks of [job]. */
        fun of(
            job: Job,
            classifier: TaskClassifier,
            runTimes: RunTimes,
        ): JobDemand {
            var shortMillis = 0.0
            var longMillis = 0.0
            var tailMillis = 0.0
            for (task in job.tasks) {
                val expected = runTimes.expectedMillis(task.operation, task.declared.runMillis)
                when (classifier.classOf(task.operation)) {
                    TaskClass.SHORT -> shortMillis += expected
                    TaskClass.LONG -> longMillis += expected
                }
                tailMillis = maxOf(tailMillis, runTimes.tailMillis(task.operation))
            }
            return JobDemand(shortMillis, longMillis, tailMillis)
        }
    }
}
