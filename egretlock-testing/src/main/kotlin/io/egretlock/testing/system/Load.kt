package io.egretlock.testing.system

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Submits jobs at a fixed interval until it is stopped, in turn to the entries that say that they are ready; it asks
 * them as a balancer does.
 *
 * @param newId makes an id for each job.
 * @param job what is submitted each time.
 */
class Load(
    private val system: TestSystem,
    private val intervalMillis: Long,
    private val newId: () -> String,
    private val job: JobRequest,
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val replies = ConcurrentLinkedQueue<CompletableFuture<JobReply>>()
    private val checks = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private var submitted = 0

    @Volatile
    private var ready = system.entries

    /** Starts to submit. */
    fun start(): Load {
        checks.scheduleWithFixedDelay(::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS)
        timer.scheduleAtFixedRate(::submit, 0, intervalMillis, TimeUnit.MILLISECONDS)
        return this
    }

    /** Stops submitting and waits for all replies. */
    fun finish(): List<JobReply> {
        close()
        timer.awaitTermination(AWAIT_SECONDS, TimeUnit.SECONDS)
        return replies.map { it.get(AWAIT_SECONDS, TimeUnit.SECONDS) }
    }

    override fun close() {
        timer.shutdown()
        checks.shutdown()
    }

    private fun check() {
        ready = system.entries.filter(system::isReady)
    }

    private fun submit() {
        val targets = ready
        if (targets.isEmpty()) return
        replies += system.submit(targets[submitted++ % targets.size], newId(), job)
    }

    private companion object {
        const val CHECK_MILLIS = 100L
        const val AWAIT_SECONDS = 60L
    }
}
