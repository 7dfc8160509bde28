package io.egretlock.testing.platform

import io.egretlock.testing.system.ManagedProcess
import io.egretlock.testing.system.ProcessLauncher
import io.egretlock.testing.system.ProcessSignal
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/**
 * One instance of the platform: its settings, which stay, and the process that runs there now.
 *
 * @param module module whose program runs there.
 * @param settings lines of the settings file that the platform writes for it.
 */
class PlatformNode internal constructor(
    val name: String,
    private val module: String,
    private val launcher: ProcessLauncher,
    private val settings: List<String>,
) {
    private val fileId = System.identityHashCode(this)

    /** The process that was started last. */
    lateinit var process: ManagedProcess
        private set

    /** Starts the program, again if it ran before. */
    fun start() {
        val directory = Path.of("target/platform").toAbsolutePath().createDirectories()
        val file = directory.resolve("${ProcessHandle.current().pid()}-$fileId-$name.conf")
        file.writeText((settings + "node_name=$name").joinToString("\n"))
        process = launcher.binary(module, name, listOf("serve"), mapOf("EGRETLOCK_BOOT" to file.toString()))
    }

    /** Sends [signal] to the process that runs now. */
    fun signal(signal: ProcessSignal) = process.signal(signal)
}
