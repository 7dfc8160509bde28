package io.egretlock.testing.system

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Submits jobs at a fixed interval, to the entries in turn, until it is stopped.
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
    private var submitted = 0

    /** Starts to submit. */
    fun start(): Load {
        timer.scheduleAtFixedRate(::submit, 0, intervalMillis, TimeUnit.MILLISECONDS)
        return this
    }

    /** Stops submitting and waits for all replies. */
    fun finish(): List<JobReply> {
        close()
        timer.awaitTermination(AWAIT_SECONDS, TimeUnit.SECONDS)
        return replies.map { it.get(AWAIT_SECONDS, TimeUnit.SECONDS) }
    }

    override fun close() = timer.shutdown()

    private fun submit() {
        val entry = system.entries[submitted++ % system.entries.size]
        replies += system.submit(entry, newId(), job)
    }

    private companion object {
        const val AWAIT_SECONDS = 60L
    }
}
