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

/** Injects faults into the platform, in sequence and overlapping; a node has at most one at a time. Not thread-safe. */
internal class SoakFaults(
    private val platform: PlatformStandIn,
    private val random: Random,
) {
    private val faultyNodes = HashSet<PlatformNode>()
    private val descriptions = mutableListOf<String>()
    private var version = 1

    /** Descriptions of the faults so far, in order. */
    val injected: List<String>
        get() = descriptions

    /** Starts faults for [millis], and returns once the last one is over and all processes run again. */
    suspend fun injectFor(millis: Long) =
        coroutineScope {
            val endAt = System.nanoTime() + millis * NANOS_PER_MILLI
            while (System.nanoTime() < endAt) {
                startFault(this)
                delay(random.nextLong(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS))
            }
        }

    private fun startFault(scope: CoroutineScope) {
        val kind = Kind.entries.random(random)
        val durationMillis = random.nextLong(SHORTEST_DURATION_MILLIS, LONGEST_DURATION_MILLIS)
        val node = platform.nodes.random(random)
        val signal = kind.signal
        when {
            signal != null && faultyNodes.add(node) -> {
                descriptions += "$kind ${node.name} for $durationMillis ms"
                scope.launch { injectProcessFault(node, signal, durationMillis) }
            }
            kind == Kind.STORE_DOWN && !platform.store.isDown -> {
                descriptions += "$kind for $durationMillis ms"
                platform.store.isDown = true
                scope.launch {
                    delay(durationMillis)
                    platform.store.isDown = false
                }
            }
            kind == Kind.CONFIGURATION -> {
                descriptions += "$kind version ${++version}"
                platform.configure(version)
            }
        }
    }

    private suspend fun injectProcessFault(
        node: PlatformNode,
        signal: ProcessSignal,
        durationMillis: Long,
    ) {
        node.signal(signal)
        if (signal == ProcessSignal.TERM) withContext(Dispatchers.IO) { node.process.awaitExit() }
        delay(durationMillis)
        if (signal == ProcessSignal.STOP) node.signal(ProcessSignal.CONT) else node.start()
        faultyNodes -= node
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

        /** Time between the starts of faults; about three overlap. */
        const val SHORTEST_GAP_MILLIS = 100L
        const val LONGEST_GAP_MILLIS = 1_500L

        /** Durations of faults, from below to well above the 600 ms after which a silent connection is closed. */
        const val SHORTEST_DURATION_MILLIS = 100L
        const val LONGEST_DURATION_MILLIS = 2_500L
    }
}
