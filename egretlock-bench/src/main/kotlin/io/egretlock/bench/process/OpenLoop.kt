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
 * One job that was submitted to real processes.
 *
 * @property responseMillis time from the intended send time to the reply.
 * @property isReturn whether the client came back with it after a refusal.
 */
data class SentJob(
    val id: String,
    val work: WorkloadJob,
    val reply: JobReply,
    val responseMillis: Double,
    val endedAtMillis: Double,
    val isReturn: Boolean,
) {
    /** When a client that was refused may come back; null if it was not told. */
    val returnsAtMillis: Double?
        get() = (reply as? JobReply.Refused)?.retryAfterSeconds?.let { endedAtMillis + it * MILLIS_PER_SECOND }

    /** Whether it was answered whole. */
    val isComplete: Boolean
        get() = reply is JobReply.Complete

    /** Whether it was refused and nothing of it has run. */
    val isRefused: Boolean
        get() = (reply as? JobReply.Refused)?.problem?.verdict == ProblemVerdict.NOT_RUN

    /** Why there is no answer, as the reply says; empty if there is one. */
    val reason: String
        get() = (reply as? JobReply.Refused)?.problem?.reason.orEmpty()

    /** Whether it failed or may have run. */
    val isLost: Boolean
        get() = !isComplete && !isRefused
}

/** What clients do when they are refused or get no answer. */
sealed interface ClientHabit {
    /** They submit each job once. */
    data object GivesUp : ClientHabit

    /** They come back once, with a new job, when Retry-After says, unless that is later than [untilMillis]. */
    data class ReturnsWhenTold(
        val untilMillis: Double,
    ) : ClientHabit

    /** They submit the same job once more, at another entry, if there is no answer after [patienceMillis]. */
    data class ResubmitsAfter(
        val patienceMillis: Long,
    ) : ClientHabit
}

/** Something that happens [atMillis] after the first intended send time of a run. */
data class TimedAction(
    val atMillis: Double,
    val action: () -> Unit,
)

/** Submits jobs at their intended times, whether or not earlier ones have been answered. */
class OpenLoop(
    private val system: TestSystem,
    private val service: String,
    seed: Long,
    private val habit: ClientHabit = ClientHabit.GivesUp,
) {
    private val ids = JobIds(Random(seed))
    private var startNanos = 0L
    private val nowMillis: Double
        get() = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    /** Submits [arrivals], to the entries in turn, does [actions] meanwhile, and waits for all replies. */
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
        return submit(work, index, work.arrivalMillis, isReturn = false)
    }

    private fun submit(
        work: WorkloadJob,
        index: Int,
        sentAtMillis: Double,
        isReturn: Boolean,
    ): CompletableFuture<List<SentJob>> {
        val id = synchronized(ids) { ids.next() }
        return reply(id, work, index).thenCompose { reply ->
            val endedAtMillis = nowMillis
            val sent = SentJob(id, work, reply, endedAtMillis - sentAtMillis, endedAtMillis, isReturn)
            comeBack(sent, index).thenApply { listOf(sent) + it }
        }
    }

    private fun reply(
        id: String,
        work: WorkloadJob,
        index: Int,
    ): CompletableFuture<JobReply> {
        val first = system.submit(entry(index), id, request(work))
        if (habit !is ClientHabit.ResubmitsAfter) return first
        val again = { if (first.isDone) first else system.submit(entry(index + 1), id, request(work)) }
        return first.applyToEither(after(habit.patienceMillis, again)) { it }
    }

    private fun comeBack(
        sent: SentJob,
        index: Int,
    ): CompletableFuture<List<SentJob>> {
        val returnsAtMillis = sent.returnsAtMillis
        val nobody = CompletableFuture.completedFuture(emptyList<SentJob>())
        if (habit !is ClientHabit.ReturnsWhenTold || sent.isReturn || returnsAtMillis == null) return nobody
        if (returnsAtMillis > habit.untilMillis) return nobody
        return after((returnsAtMillis - nowMillis).toLong()) { submit(sent.work, index, nowMillis, isReturn = true) }
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
