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

/**
 * One job that was submitted to real processes.
 *
 * @property responseMillis time from the intended send time to the reply.
 */
data class SentJob(
    val id: String,
    val work: WorkloadJob,
    val reply: JobReply,
    val responseMillis: Double,
    val endedAtMillis: Double,
) {
    /** Whether it was answered whole. */
    val isComplete: Boolean
        get() = reply is JobReply.Complete

    /** Whether it was refused and nothing of it has run. */
    val isRefused: Boolean
        get() = (reply as? JobReply.Refused)?.problem?.verdict == ProblemVerdict.NOT_RUN

    /** Whether it failed or may have run. */
    val isLost: Boolean
        get() = !isComplete && !isRefused
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
) {
    private val ids = JobIds(Random(seed))

    /** Submits [arrivals], to the entries in turn, does [actions] meanwhile, and waits for all replies. */
    fun run(
        arrivals: List<WorkloadJob>,
        actions: List<TimedAction> = emptyList(),
    ): List<SentJob> {
        val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
        val startNanos = System.nanoTime()
        actions.forEach { timer.schedule(it.action, it.atMillis.toLong(), TimeUnit.MILLISECONDS) }
        val sent = arrivals.mapIndexed { index, work -> submitAt(startNanos, work, index) }
        val replies = sent.map { it.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        timer.shutdown()
        return replies
    }

    private fun submitAt(
        startNanos: Long,
        work: WorkloadJob,
        index: Int,
    ): CompletableFuture<SentJob> {
        val waitNanos = startNanos + (work.arrivalMillis * NANOS_PER_MILLI).toLong() - System.nanoTime()
        if (waitNanos > 0) TimeUnit.NANOSECONDS.sleep(waitNanos)
        val id = ids.next()
        val entry = system.entries[index % system.entries.size]
        return system.submit(entry, id, request(work)).thenApply { reply ->
            val endedAtMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
            SentJob(id, work, reply, endedAtMillis - work.arrivalMillis, endedAtMillis)
        }
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
