package io.egretlock.testing.system

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.io.path.readText

/**
 * A process that a [ProcessLauncher] started.
 *
 * @property log file that receives its standard output and standard error.
 */
class ManagedProcess internal constructor(
    val name: String,
    private val process: Process,
    val log: Path,
) {
    /** Whether the process is running or paused. */
    val isAlive: Boolean
        get() = process.isAlive

    /** Process id in the operating system. */
    val pid: Long
        get() = process.pid()

    /** Its output so far. */
    fun logText(): String = log.readText()

    /** Sends a signal by process id; does nothing if the process has ended. */
    fun signal(signal: ProcessSignal) {
        if (!process.isAlive) return
        ProcessBuilder("kill", "-${signal.name}", pid.toString()).inheritIO().start().waitFor()
    }

    /** Waits for the end and returns the exit code; throws if the process is still alive after [timeoutMillis]. */
    fun awaitExit(timeoutMillis: Long = EXIT_TIMEOUT_MILLIS): Int {
        check(process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
            "$name (process $pid) has not ended after $timeoutMillis ms; end of its log:\n${lastLines()}"
        }
        return process.exitValue()
    }

    /** Kills the process, also if it is paused, and waits until it has ended. */
    fun destroy() {
        process.destroyForcibly().waitFor(EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Last lines of the log, for error messages. */
    fun lastLines(): String = log.readLines().takeLast(LINES_SHOWN).joinToString("\n")

    private companion object {
        const val EXIT_TIMEOUT_MILLIS = 30_000L
        const val LINES_SHOWN = 20
    }
}
