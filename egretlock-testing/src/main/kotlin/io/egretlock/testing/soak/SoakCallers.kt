package io.egretlock.testing.soak

import io.egretlock.platform.http.HttpClientResponse
import io.egretlock.testing.platform.PlatformStandIn
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Callers that each submit one job after the other, to random entries. After an answer that leaves the outcome of a job
 * open, a caller resubmits it to a random entry, as the platform's callers do. Not thread-safe.
 */
internal class SoakCallers(
    private val platform: PlatformStandIn,
    private val random: Random,
    private val longestAnswerMillis: Long,
) {
    private val statuses = sortedMapOf<Int, Int>()
    private val refused = mutableListOf<String>()
    private val slowAnswers = mutableListOf<String>()
    private var lastJob = 0L

    /** Number of answers by HTTP status; 0 counts requests without an answer. */
    val answers: Map<Int, Int>
        get() = statuses

    /** Violations that callers observed, given all tasks that were [started]. */
    fun violations(started: List<String>): List<String> {
        val jobs = started.mapTo(HashSet()) { it.substringBefore('.') }
        return slowAnswers + refused.filter { it in jobs }.map { "Job $it was refused as not run, and ran." }
    }

    /** Submits jobs until cancelled. */
    suspend fun submitUntilCancelled() {
        while (true) {
            submitUntilDecided()
            delay(random.nextLong(LONGEST_PAUSE_MILLIS))
        }
    }

    /** Submits one job, and resubmits it while its outcome is unknown; returns whether it was completed. */
    suspend fun submitUntilDecided(): Boolean {
        val job = "%016x".format(++lastJob)
        repeat(ATTEMPTS) { attempt ->
            val answer = submit(job)
            if (answer?.status == HTTP_OK) return true
            if (answer?.status == HTTP_UNAVAILABLE) {
                // Only the first attempt's 503 means that the job never ran: an entry can't know of attempts at others.
                if (attempt == 0) refused += job
                return false
            }
            delay(RESUBMIT_MILLIS)
        }
        return false
    }

    private suspend fun submit(job: String): HttpClientResponse? {
        val startNanos = System.nanoTime()
        val answer = platform.submit(job, random.nextInt(1, TASK_COUNT_BOUND), entry = platform.entries.random(random))
        val millis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
        if (millis > longestAnswerMillis) slowAnswers += "Job $job had no answer for $millis ms."
        statuses.merge(answer?.status ?: 0, 1, Int::plus)
        return answer
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        const val NANOS_PER_MILLI = 1_000_000L
        const val ATTEMPTS = 4
        const val TASK_COUNT_BOUND = 9
        const val LONGEST_PAUSE_MILLIS = 100L

        /** Time after which the platform's callers resubmit a job. */
        const val RESUBMIT_MILLIS = 1_300L
    }
}
