package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress
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

    private val fileId = System.identityHashCode(this)
}

/** An instance that serves callers at [callers] and the balancer at [readiness]. */
class PlatformEntry internal constructor(
    val node: PlatformNode,
    val callers: NodeAddress,
    val readiness: NodeAddress,
)

/** An instance with an [upstream] at [address], which reports to the agent at [heartbeats]. */
class PlatformAgent internal constructor(
    val node: PlatformNode,
    val upstream: PlatformUpstreamStandIn,
    val address: NodeAddress,
    val heartbeats: NodeAddress,
)
