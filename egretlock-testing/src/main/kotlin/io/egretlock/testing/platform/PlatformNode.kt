package io.egretlock.testing.platform

import io.egretlock.testing.system.ManagedProcess
import io.egretlock.testing.system.ProcessLauncher
import io.egretlock.testing.system.ProcessSignal
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/**
 * One instance of the platform: its settings, which a restart keeps, and its current process.
 *
 * @param module module whose binary the instance runs.
 * @param settings lines of the settings file that the platform writes for the instance.
 */
class PlatformNode internal constructor(
    val name: String,
    private val module: String,
    private val launcher: ProcessLauncher,
    private val settings: List<String>,
) {
    private val nodeId = System.identityHashCode(this)

    /** The latest process. */
    lateinit var process: ManagedProcess
        private set

    /** Starts a process, also after the previous one has ended. */
    fun start() {
        val directory = Path.of("target/platform").toAbsolutePath().createDirectories()
        val file = directory.resolve("${ProcessHandle.current().pid()}-$nodeId-$name.conf")
        file.writeText((settings + "node_name=$name").joinToString("\n"))
        process = launcher.startBinary(module, name, listOf("serve"), mapOf("EGRETLOCK_BOOT" to file.toString()))
    }

    /** Sends [signal] to the latest process. */
    fun signal(signal: ProcessSignal) = process.signal(signal)
}
