package io.egretlock.testing.system

import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.exists

/**
 * Starts the project's binaries and stand-ins as processes, and kills each of them by its id on [close].
 *
 * @param root root directory of the project, where the modules were packaged.
 */
class ProcessLauncher(
    private val root: Path = projectRoot(),
) : AutoCloseable {
    private val launched = CopyOnWriteArrayList<ManagedProcess>()
    private val logDirectory = root.resolve("egretlock-testing/target/processes").createDirectories()

    /** Starts one of the project's binaries, `egretlock-entry` or `egretlock-agent`. */
    fun startBinary(
        module: String,
        name: String,
        arguments: List<String>,
        environment: Map<String, String> = emptyMap(),
    ): ManagedProcess {
        val archive = root.resolve("$module/target/$module-$VERSION-all.jar")
        check(archive.exists()) { "$archive is missing; package the module $module first." }
        return launch(name, listOf("-jar", archive.toString()) + arguments, environment)
    }

    /** Starts a stand-in, which is a subcommand of this module's main function. */
    fun startStandIn(
        name: String,
        arguments: List<String>,
    ): ManagedProcess {
        val classPath = System.getProperty("java.class.path")
        return launch(name, listOf("-cp", classPath, "io.egretlock.testing.MainKt") + arguments)
    }

    override fun close() {
        launched.forEach { it.destroy() }
    }

    private fun launch(
        name: String,
        arguments: List<String>,
        environment: Map<String, String> = emptyMap(),
    ): ManagedProcess {
        val log = logDirectory.resolve("${ProcessHandle.current().pid()}-${counter.incrementAndGet()}-$name.log")
        val builder = ProcessBuilder(listOf(javaExecutable()) + RUNTIME_OPTIONS + arguments)
        builder.environment().keys.removeIf { it.startsWith("EGRETLOCK_") }
        builder.environment() += environment
        builder.redirectErrorStream(true).redirectOutput(log.toFile())
        return ManagedProcess(name, builder.start(), log).also { launched += it }
    }

    private fun javaExecutable(): String = Path(System.getProperty("java.home"), "bin", "java").toString()

    companion object {
        private const val VERSION = "0.1.0"
        private val RUNTIME_OPTIONS = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m", "-Xss512k")
        private val counter = AtomicInteger()

        /** Root directory of the project: the system property `egretlock.root`, else the working directory. */
        fun projectRoot(): Path = Path(System.getProperty("egretlock.root") ?: "").toAbsolutePath()
    }
}
