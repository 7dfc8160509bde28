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
 * Injects faults into real processes while callers submit jobs, and checks what callers and upstreams observe: no task
 * has two runs at once, no upstream gets more tasks than it has room for, no job that was refused as not run has run,
 * every request is answered in time, and the service recovers soon after the last fault.
 */
class Soak(
    private val settings: SoakSettings,
) {
    /** Performs one run; returns once all processes that it started have ended. */
    fun run(): SoakReport =
        Executors.newSingleThreadExecutor().asCoroutineDispatcher().use { dispatcher ->
            runBlocking(dispatcher) { platform().use { run(it) } }
        }

    private fun platform() =
        PlatformStandIn(
            TASK_MILLIS,
            settings.entryCount,
            settings.agentCount,
            CORES,
            TARGET_MILLIS,
            settings.seed,
        )

    private suspend fun run(platform: PlatformStandIn): SoakReport {
        val random = Random(settings.seed)
        val callers = SoakCallers(platform, Random(settings.seed), settings.longestAnswerMillis)
        val faults = SoakFaults(platform, random, settings.faultKinds)
        platform.start()
        whileCallersSubmit(callers) { faults.injectFor(settings.faultMillis) }
        val recovery = awaitRecovery(callers)
        val monitor = platform.runMonitor
        val violations =
            callers.violations(monitor.started) + recovery +
                monitor.overlaps.map { "Task $it had two runs at once." } +
                monitor.overcommitted.map { "Task $it was started on an upstream without room." }
        return SoakReport(settings, faults.injected, callers.answers, violations)
    }

    private suspend fun whileCallersSubmit(
        callers: SoakCallers,
        body: suspend () -> Unit,
    ) = coroutineScope {
        val jobs = List(settings.callerCount) { launch { callers.submitUntilCancelled() } }
        body()
        jobs.forEach { it.cancelAndJoin() }
    }

    /** Submits jobs until [RECOVERY_JOBS] in a row are completed; returns a violation if that takes too long. */
    private suspend fun awaitRecovery(callers: SoakCallers): List<String> {
        val endAt = System.nanoTime() + settings.recoveryMillis * NANOS_PER_MILLI
        var completed = 0
        while (completed < RECOVERY_JOBS) {
            if (System.nanoTime() > endAt) {
                return listOf("No $RECOVERY_JOBS jobs in a row were completed within ${settings.recoveryMillis} ms.")
            }
            completed = if (callers.submitUntilDecided()) completed + 1 else 0
            delay(PAUSE_MILLIS)
        }
        return emptyList()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        const val TASK_MILLIS = 150L

        /** Room for more runs than an agent has connections for orders, so that orders wait for a silent upstream. */
        const val CORES = 16
        const val TARGET_MILLIS = 1_000L

        /** Completed jobs in a row after which the service counts as recovered. */
        const val RECOVERY_JOBS = 20
        const val PAUSE_MILLIS = 10L
    }
}
