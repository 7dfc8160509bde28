package io.egretlock.bench.process

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.testing.client.JobIds
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import io.egretlock.testing.client.JobTask
import io.egretlock.testing.client.ProblemVerdict
import io.egretlock.testing.system.TestSystem
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val MILLIS_PER_SECOND = 1_000

/**
 * One job that was submitted to real processes, with its reply.
 *
 * @property responseMillis time from the intended send time to the reply.
 * @property isRetry whether the client submitted it again, as a new job, after a refusal.
 */
data class SentJob(
    val id: String,
    val work: WorkloadJob,
    val reply: JobReply,
    val responseMillis: Double,
    val endedAtMillis: Double,
    val isRetry: Boolean,
) {
    /** Time at which Retry-After allows the next attempt; null if the reply has no Retry-After. */
    val retryAtMillis: Double?
        get() = (reply as? JobReply.Refused)?.retryAfterSeconds?.let { endedAtMillis + it * MILLIS_PER_SECOND }

    /** Whether the reply is a complete answer. */
    val isComplete: Boolean
        get() = reply is JobReply.Complete

    /** Whether the job was refused and none of its tasks has run. */
    val isRefused: Boolean
        get() = (reply as? JobReply.Refused)?.problem?.verdict == ProblemVerdict.NOT_RUN

    /** Reason in the problem of the reply; empty if the reply is an answer. */
    val reason: String
        get() = (reply as? JobReply.Refused)?.problem?.reason.orEmpty()

    /** Whether the job failed or may have run. */
    val isLost: Boolean
        get() = !isComplete && !isRefused
}

/** Retries of clients whose job is refused or not answered. */
sealed interface RetryPolicy {
    /** Submits each job once. */
    data object NoRetry : RetryPolicy

    /** Submits a refused job once more, as a new job, after Retry-After, unless that is later than [untilMillis]. */
    data class RetryAfterRefusal(
        val untilMillis: Double,
    ) : RetryPolicy

    /** Submits the same job once more, to another entry, if there is no answer after [timeoutMillis]. */
    data class ResubmitAfterTimeout(
        val timeoutMillis: Long,
    ) : RetryPolicy
}

/** An action that runs [atMillis] after the start of a run. */
data class TimedAction(
    val atMillis: Double,
    val action: () -> Unit,
)

/** Open-loop client: submits jobs at their intended send times, whether or not earlier ones have been answered. */
class OpenLoop(
    private val system: TestSystem,
    private val service: String,
    seed: Long,
    private val retryPolicy: RetryPolicy = RetryPolicy.NoRetry,
) {
    private val ids = JobIds(Random(seed))
    private var startNanos = 0L
    private val nowMillis: Double
        get() = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    /** Submits [arrivals] to the entries in turn, runs [actions] at their times, and waits for all replies. */
    fun run(
        arrivals: List<WorkloadJob>,
        actions: List<TimedAction> = emptyList(),
    ): List<SentJob> {
        val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
        startNanos = System.nanoTime()
        actions.forEach { timer.schedule(it.action, it.atMillis.toLong(), TimeUnit.MILLISECONDS) }
        val sent = arrivals.mapIndexed { index, work -> submitAt(work, index) }
        val replies = sent.flatMap { it.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        timer.shutdown()
        return replies
    }

    private fun submitAt(
        work: WorkloadJob,
        index: Int,
    ): CompletableFuture<List<SentJob>> {
        val waitMillis = work.arrivalMillis - nowMillis
        if (waitMillis > 0) TimeUnit.NANOSECONDS.sleep((waitMillis * NANOS_PER_MILLI).toLong())
        return submit(work, index, work.arrivalMillis, isRetry = false)
    }

    private fun submit(
        work: WorkloadJob,
        index: Int,
        sentAtMillis: Double,
        isRetry: Boolean,
    ): CompletableFuture<List<SentJob>> {
        val id = synchronized(ids) { ids.next() }
        return reply(id, work, index).thenCompose { reply ->
            val endedAtMillis = nowMillis
            val sent = SentJob(id, work, reply, endedAtMillis - sentAtMillis, endedAtMillis, isRetry)
            retry(sent, index).thenApply { listOf(sent) + it }
        }
    }

    private fun reply(
        id: String,
        work: WorkloadJob,
        index: Int,
    ): CompletableFuture<JobReply> {
        val first = system.submit(entry(index), id, request(work))
        if (retryPolicy !is RetryPolicy.ResubmitAfterTimeout) return first
        val resubmit = { if (first.isDone) first else system.submit(entry(index + 1), id, request(work)) }
        return first.applyToEither(after(retryPolicy.timeoutMillis, resubmit)) { it }
    }

    private fun retry(
        sent: SentJob,
        index: Int,
    ): CompletableFuture<List<SentJob>> {
        val retryAtMillis = sent.retryAtMillis
        val noRetry = CompletableFuture.completedFuture(emptyList<SentJob>())
        if (retryPolicy !is RetryPolicy.RetryAfterRefusal || sent.isRetry || retryAtMillis == null) return noRetry
        if (retryAtMillis > retryPolicy.untilMillis) return noRetry
        return after((retryAtMillis - nowMillis).toLong()) { submit(sent.work, index, nowMillis, isRetry = true) }
    }

    private fun entry(index: Int) = system.entries[index % system.entries.size]

    private fun <T> after(
        delayMillis: Long,
        start: () -> CompletableFuture<T>,
    ): CompletableFuture<T> {
        val later = CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS)
        return CompletableFuture.supplyAsync(start, later).thenCompose { it }
    }

    private fun request(work: WorkloadJob) =
        JobRequest(
            team = work.team.value,
            service = service,
            deadlineMillis = work.deadlineMillis,
            tasks =
                work.tasks.map { task ->
                    val payload = JsonObject(mapOf("runMillis" to JsonPrimitive(task.runMillis)))
                    JobTask(task.operation.value, idempotent = false, payload)
                },
        )

    private companion object {
        const val NANOS_PER_MILLI = 1e6
        const val REPLY_TIMEOUT_SECONDS = 120L
    }
}
