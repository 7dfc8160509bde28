package io.egretlock.testing.soak

import io.egretlock.testing.platform.PlatformNode
import io.egretlock.testing.platform.PlatformStandIn
import io.egretlock.testing.system.ProcessSignal
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.random.Random

/** Faults from outside, in series and overlapping; each node has one at a time. One thread uses it. */
internal class SoakFaults(
    private val platform: PlatformStandIn,
    private val random: Random,
) {
    private val troubled = HashSet<PlatformNode>()
    private val done = mutableListOf<String>()
    private var version = 1

    /** What was done, in order. */
    val log: List<String>
        get() = done

    /** Begins faults for [millis] and returns when the last of them is over and all processes run again. */
    suspend fun play(millis: Long) =
        coroutineScope {
            val endAt = System.nanoTime() + millis * NANOS_PER_MILLI
            while (System.nanoTime() < endAt) {
                begin(this)
                delay(random.nextLong(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS))
            }
        }

    private fun begin(scope: CoroutineScope) {
        val kind = Kind.entries.random(random)
        val lengthMillis = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS)
        val node = platform.nodes.random(random)
        val signal = kind.signal
        when {
            signal != null && troubled.add(node) -> {
                done += "$kind ${node.name} for $lengthMillis ms"
                scope.launch { trouble(node, signal, lengthMillis) }
            }
            kind == Kind.STORE_DOWN && !platform.store.isDown -> {
                done += "$kind for $lengthMillis ms"
                platform.store.isDown = true
                scope.launch {
                    delay(lengthMillis)
                    platform.store.isDown = false
                }
            }
            kind == Kind.CONFIGURATION -> {
                done += "$kind version ${++version}"
                platform.configure(version)
            }
        }
    }

    private suspend fun trouble(
        node: PlatformNode,
        signal: ProcessSignal,
        lengthMillis: Long,
    ) {
        node.signal(signal)
        if (signal == ProcessSignal.TERM) withContext(Dispatchers.IO) { node.process.awaitExit() }
        delay(lengthMillis)
        if (signal == ProcessSignal.STOP) node.signal(ProcessSignal.CONT) else node.start()
        troubled -= node
    }

    private enum class Kind(
        val signal: ProcessSignal?,
    ) {
        KILL(ProcessSignal.KILL),
        PLANNED_STOP(ProcessSignal.TERM),
        PAUSE(ProcessSignal.STOP),
        STORE_DOWN(null),
        CONFIGURATION(null),
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Gaps that let about three faults overlap. */
        const val SHORTEST_GAP_MILLIS = 100L
        const val LONGEST_GAP_MILLIS = 1_500L

        /** Lengths from below to well above the 600 ms after which a silent connection is given up. */
        const val SHORTEST_MILLIS = 100L
        const val LONGEST_MILLIS = 2_500L
    }
}
