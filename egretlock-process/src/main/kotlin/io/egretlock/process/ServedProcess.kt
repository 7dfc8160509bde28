package io.egretlock.process

import io.egretlock.process.log.StructuredLogProvider
import io.github.oshai.kotlinlogging.KLogger
import io.javalin.util.JavalinBindException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.net.BindException
import kotlin.system.exitProcess

/** A process that runs until it is stopped by a signal. */
interface ServedProcess {
    /** Binds all addresses and starts serving. Throws [BindException] or [JavalinBindException] if one is in use. */
    suspend fun start()

    /** Stops gracefully. */
    suspend fun stop()

    /** Reloads the settings, which may have changed. */
    fun reload() = Unit
}

/**
 * Starts [process] and blocks until SIGTERM or SIGINT, which stop it gracefully with exit status 0. SIGHUP, which would
 * otherwise end the process, makes it reload its settings.
 */
fun CommandLine.serve(process: ServedProcess): Nothing {
    try {
        runBlocking { process.start() }
    } catch (inUse: BindException) {
        fail(EXIT_FAILURE, listOf("An address can't be bound: ${inUse.message}"))
    } catch (inUse: JavalinBindException) {
        fail(EXIT_FAILURE, listOf("An address can't be bound: ${inUse.message}"))
    }
    reloadOn("HUP", process)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { process.stop() }
            StructuredLogProvider.flush()
            Runtime.getRuntime().halt(0)
        },
    )
    Thread.currentThread().join()
    exitProcess(0)
}

/** Makes [process] reload its settings at each signal named [signal], such as `HUP`. */
internal fun reloadOn(
    signal: String,
    process: ServedProcess,
) {
    Signal.handle(Signal(signal)) { process.reload() }
}

/**
 * Launches a task that the process can't run without. If [body] fails, logs [event] and halts the process at once:
 * without the task it would accept requests and never answer them, whereas the platform replaces a process that ended.
 */
fun CoroutineScope.launchEssential(
    logger: KLogger,
    event: Event,
    body: suspend () -> Unit,
): Job =
    launch {
        try {
            body()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Throwable) {
            logger.event(event, "cause" to failure.stackTraceToString())
            StructuredLogProvider.flush()
            Runtime.getRuntime().halt(EXIT_FAILURE)
        }
    }
