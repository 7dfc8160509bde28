package io.egretlock.testing.soak

import io.egretlock.testing.platform.PlatformStandIn
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.util.concurrent.Executors
import kotlin.random.Random

/**
 * Plays faults against the real programs while callers submit jobs, and checks from what callers and upstreams see:
 * no two runs of a task at once, no upstream above its room, no run of a job that was refused as not run, an answer in
 * time, and full service again soon after the last fault.
 */
class Soak(
    private val settings: SoakSettings,
) {
    /** Plays one run; the processes that it started have ended when it returns. */
    fun play(): SoakReport =
        Executors.newSingleThreadExecutor().asCoroutineDispatcher().use { dispatcher ->
            runBlocking(dispatcher) { platform().use { play(it) } }
        }

    private fun platform() =
        PlatformStandIn(
            TASK_MILLIS,
            settings.entryCount,
            settings.agentCount,
            CORES,
            TARGET_MILLIS,
        )

    private suspend fun play(platform: PlatformStandIn): SoakReport {
        val random = Random(settings.seed)
        val callers = SoakCallers(platform, Random(settings.seed), settings.longestAnswerMillis)
        val faults = SoakFaults(platform, random)
        platform.start()
        whileCallersSubmit(callers) { faults.play(settings.faultMillis) }
        val recovery = awaitRecovery(callers)
        val watch = platform.watch
        val violations =
            callers.violations(watch.started) + recovery +
                watch.overlaps.map { "Task $it was at work twice at a time." } +
                watch.crowded.map { "Task $it was started on an upstream without room." }
        return SoakReport(settings, faults.log, callers.answers, violations)
    }

    private suspend fun whileCallersSubmit(
        callers: SoakCallers,
        body: suspend () -> Unit,
    ) = coroutineScope {
        val jobs = List(settings.callerCount) { launch { callers.submitForever() } }
        body()
        jobs.forEach { it.cancelAndJoin() }
    }

    /** Submits jobs until a series of them is completed; returns a violation if that takes too long. */
    private suspend fun awaitRecovery(callers: SoakCallers): List<String> {
        val endAt = System.nanoTime() + settings.recoveryMillis * NANOS_PER_MILLI
        var completed = 0
        while (completed < SERIES) {
            if (System.nanoTime() > endAt) {
                return listOf("No $SERIES jobs in a row were completed within ${settings.recoveryMillis} ms.")
            }
            completed = if (callers.submitToEnd()) completed + 1 else 0
            delay(PAUSE_MILLIS)
        }
        return emptyList()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Shape of the load: about half of the room with six callers. */
        const val TASK_MILLIS = 150L
        const val CORES = 4
        const val TARGET_MILLIS = 1_000L

        /** Jobs in a row that show that the service is back. */
        const val SERIES = 20
        const val PAUSE_MILLIS = 10L
    }
}
