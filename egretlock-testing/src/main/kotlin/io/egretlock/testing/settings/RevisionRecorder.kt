package io.egretlock.testing.settings

import io.egretlock.core.roster.NodeAddress
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** A process whose settings revision is recorded; [pid] distinguishes restarts. */
data class ObservedProcess(
    val name: String,
    val address: NodeAddress,
    val pid: () -> Long,
)

/** The revision that a process had in force; [atMillis] is a time of the monotonic clock. */
data class RevisionSample(
    val process: String,
    val pid: Long,
    val atMillis: Long,
    val revision: Long,
)

/** Polls processes for the revision that they have in force, until closed. */
class RevisionRecorder(
    private val client: SettingsClient,
    private val processes: List<ObservedProcess>,
    private val nowMillis: () -> Long,
) : AutoCloseable {
    private val recorded = ConcurrentLinkedQueue<RevisionSample>()

    @Volatile
    private var open = true
    private val threads = processes.map { process -> thread(isDaemon = true) { observe(process) } }

    /** All samples so far, in order for each process. */
    val samples: List<RevisionSample>
        get() = recorded.toList()

    override fun close() {
        open = false
        threads.forEach { it.join() }
    }

    private fun observe(process: ObservedProcess) {
        while (open) {
            val pid = process.pid()
            val revision = client.revisionInForce(process.address)
            if (revision != null && pid == process.pid()) {
                recorded += RevisionSample(process.name, pid, nowMillis(), revision)
            }
            Thread.sleep(INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val INTERVAL_MILLIS = 100L
    }
}
