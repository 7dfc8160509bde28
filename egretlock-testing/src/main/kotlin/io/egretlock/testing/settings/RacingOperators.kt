package io.egretlock.testing.settings

import io.egretlock.core.roster.NodeAddress
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/** Operators that concurrently edit the settings of one team, each at random entries, until closed. */
class RacingOperators(
    private val client: SettingsClient,
    private val entries: List<NodeAddress>,
    private val body: (Int) -> String,
    private val seed: Int,
    private val nowMillis: () -> Long,
) : AutoCloseable {
    private val numbers = AtomicInteger()
    private val acceptedEdits = ConcurrentLinkedQueue<AcceptedEdit>()
    private val statuses = ConcurrentLinkedQueue<Int>()

    @Volatile
    private var open = true
    private val threads = List(OPERATORS) { index -> thread(isDaemon = true) { editUntilClosed(Random(seed + index)) } }

    /** Edits accepted so far. */
    val accepted: List<AcceptedEdit>
        get() = acceptedEdits.toList()

    /** Number of replies by status; 0 stands for edits without a reply. */
    val replies: Map<Int, Int>
        get() = statuses.groupingBy { it }.eachCount().toSortedMap()

    override fun close() {
        open = false
        threads.forEach { it.join() }
    }

    private fun editUntilClosed(random: Random) {
        while (open) {
            editOnce(random)
            Thread.sleep(random.nextLong(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS))
        }
    }

    private fun editOnce(random: Random) {
        try {
            val current = client.get(entries.random(random))
            val reply = client.put(entries.random(random), current.entityTag, body(numbers.incrementAndGet()))
            statuses += reply.status
            if (reply.status == HTTP_OK) acceptedEdits += AcceptedEdit(checkNotNull(reply.revision), nowMillis())
        } catch (_: IOException) {
            statuses += 0
        }
    }

    private companion object {
        const val OPERATORS = 4
        const val SHORTEST_PAUSE_MILLIS = 50L
        const val LONGEST_PAUSE_MILLIS = 250L
        const val HTTP_OK = 200
    }
}
