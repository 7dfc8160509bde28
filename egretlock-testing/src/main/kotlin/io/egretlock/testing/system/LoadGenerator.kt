package io.egretlock.testing.system

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Submits jobs at a fixed interval until it is stopped, in turn to the entries that are ready; it checks their
 * readiness as a load balancer does.
 *
 * @param newId generates an id for each job.
 * @param job body of each submission.
 */
class LoadGenerator(
    private val system: TestSystem,
    private val intervalMillis: Long,
    private val newId: () -> String,
    private val job: JobRequest,
) : AutoCloseable {
    private val submitTimer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val replies = ConcurrentLinkedQueue<CompletableFuture<JobReply>>()
    private val readinessTimer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private var submittedCount = 0

    @Volatile
    private var readyEntries = system.entries

    fun start(): LoadGenerator {
        readinessTimer.scheduleWithFixedDelay(::checkReadiness, 0, READINESS_CHECK_MILLIS, TimeUnit.MILLISECONDS)
        submitTimer.scheduleAtFixedRate(::submit, 0, intervalMillis, TimeUnit.MILLISECONDS)
        return this
    }

    /** Stops submitting and waits for all replies. */
    fun finish(): List<JobReply> {
        close()
        submitTimer.awaitTermination(AWAIT_SECONDS, TimeUnit.SECONDS)
        return replies.map { it.get(AWAIT_SECONDS, TimeUnit.SECONDS) }
    }

    override fun close() {
        submitTimer.shutdown()
        readinessTimer.shutdown()
    }

    private fun checkReadiness() {
        readyEntries = system.entries.filter(system::isReady)
    }

    private fun submit() {
        val targets = readyEntries
        if (targets.isEmpty()) return
        replies += system.submit(targets[submittedCount++ % targets.size], newId(), job)
    }

    private companion object {
        const val READINESS_CHECK_MILLIS = 100L
        const val AWAIT_SECONDS = 60L
    }
}
