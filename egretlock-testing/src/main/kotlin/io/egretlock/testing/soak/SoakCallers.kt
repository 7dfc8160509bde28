package io.egretlock.testing.soak

import io.egretlock.platform.http.HttpAnswer
import io.egretlock.testing.platform.PlatformStandIn
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Callers that submit one job after the other, each to a random entry. One that was not told what became of its job
 * submits it again to another entry, as the platform's callers do. One thread uses them.
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

    /** Number of answers by status; 0 stands for none. */
    val answers: Map<Int, Int>
        get() = statuses

    /** What callers saw that must not be, given all tasks that were [started]. */
    fun violations(started: List<String>): List<String> {
        val jobs = started.mapTo(HashSet()) { it.substringBefore('.') }
        return slowAnswers + refused.filter { it in jobs }.map { "Job $it was refused as not run, and ran." }
    }

    /** Submits jobs until cancelled. */
    suspend fun submitForever() {
        while (true) {
            submitToEnd()
            delay(random.nextLong(LONGEST_PAUSE_MILLIS))
        }
    }

    /** Submits one job, again where its fate is not known; returns whether it was completed. */
    suspend fun submitToEnd(): Boolean {
        val job = "%016x".format(++lastJob)
        repeat(ATTEMPTS) { attempt ->
            val answer = submit(job)
            if (answer?.status == HTTP_OK) return true
            if (answer?.status == HTTP_UNAVAILABLE) {
                // Only a first attempt tells that the job never ran: an entry can't know of attempts at another.
                if (attempt == 0) refused += job
                return false
            }
            delay(REPEAT_MILLIS)
        }
        return false
    }

    private suspend fun submit(job: String): HttpAnswer? {
        val begunAt = System.nanoTime()
        val answer = platform.submit(job, random.nextInt(1, MOST_TASKS), entry = platform.entries.random(random))
        val millis = (System.nanoTime() - begunAt) / NANOS_PER_MILLI
        if (millis > longestAnswerMillis) slowAnswers += "Job $job had no answer for $millis ms."
        statuses.merge(answer?.status ?: 0, 1, Int::plus)
        return answer
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        const val NANOS_PER_MILLI = 1_000_000L
        const val ATTEMPTS = 4
        const val MOST_TASKS = 4
        const val LONGEST_PAUSE_MILLIS = 100L

        /** Time after which a caller submits a job again: the platform's. */
        const val REPEAT_MILLIS = 1_300L
    }
}
