package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class GapClassifierTest {
    private val classifier = GapClassifier()

    @Test
    fun `given a wide gap, when classified, then operations above it are long`() {
        classifier.update(CHECK, 100.0)
        classifier.update(OperationName("bolt-tag"), 400.0)
        classifier.update(REVIEW, 6_000.0)
        val classes = listOf("tear-check", "bolt-tag", "strain-review").map { classifier.classOf(OperationName(it)) }
        assertEquals(listOf(TaskClass.SHORT, TaskClass.SHORT, TaskClass.LONG), classes)
    }

    @Test
    fun `given no wide gap, when classified, then all operations are short`() {
        classifier.update(CHECK, 100.0)
        classifier.update(REVIEW, 599.0)
        assertEquals(TaskClass.SHORT, classifier.classOf(REVIEW))
    }
}
