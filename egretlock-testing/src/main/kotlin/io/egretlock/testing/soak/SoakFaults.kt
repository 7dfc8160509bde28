package io.egretlock.testing.soak

import io.egretlock.testing.platform.PlatformAgent
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

/**
 * Injects faults of the given [kinds] into the platform, in sequence and overlapping; an instance has at most one at a
 * time, and so has an upstream. Not thread-safe.
 */
internal class SoakFaults(
    private val platform: PlatformStandIn,
    private val random: Random,
    private val kinds: List<SoakFaultKind>,
) {
    private val faultyNodes = HashSet<PlatformNode>()
    private val faultyUpstreams = HashSet<PlatformAgent>()
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
        val kind = kinds.random(random)
        val durationMillis = random.nextLong(SHORTEST_DURATION_MILLIS, LONGEST_DURATION_MILLIS)
        val node = platform.nodes.random(random)
        val agent = platform.agents.random(random)
        val downMillis = random.nextLong(SHORTEST_DOWN_MILLIS, LONGEST_DOWN_MILLIS)
        val signal = kind.signal
        when {
            signal != null && faultyNodes.add(node) -> {
                descriptions += "$kind ${node.name} for $durationMillis ms"
                scope.launch { injectProcessFault(node, signal, durationMillis) }
            }
            kind.isRestart && canEnd(agent) -> {
                descriptions += "$kind of the upstream of ${agent.node.name} after $downMillis ms"
                faultyUpstreams += agent
                scope.launch { restart(agent, kind, downMillis) }
            }
            kind == SoakFaultKind.STORE_DOWN && !platform.store.isDown -> {
                descriptions += "$kind for $durationMillis ms"
                platform.store.isDown = true
                scope.launch {
                    delay(durationMillis)
                    platform.store.isDown = false
                }
            }
            kind == SoakFaultKind.CONFIGURATION -> {
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

    /** Whether half of the upstreams stay up, so that the tasks of an upstream that is down have another place. */
    private fun canEnd(agent: PlatformAgent) =
        agent !in faultyUpstreams && faultyUpstreams.size < platform.agents.size / 2

    private suspend fun restart(
        agent: PlatformAgent,
        kind: SoakFaultKind,
        downMillis: Long,
    ) {
        agent.upstream.end(isSilent = kind == SoakFaultKind.SILENT_RESTART)
        delay(downMillis)
        agent.upstream.start()
        faultyUpstreams -= agent
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Time between the starts of faults; about three overlap. */
        const val SHORTEST_GAP_MILLIS = 100L
        const val LONGEST_GAP_MILLIS = 1_500L

        /** Durations of faults, from below to well above the 600 ms after which a silent connection is closed. */
        const val SHORTEST_DURATION_MILLIS = 100L
        const val LONGEST_DURATION_MILLIS = 2_500L

        /** Times for which an upstream is down, from below to well above the time for which leases last. */
        const val SHORTEST_DOWN_MILLIS = 300L
        const val LONGEST_DOWN_MILLIS = 4_500L
    }
}
