package io.egretlock.core.model

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText

private const val WORKER_THREADS = 3
private const val TIMEOUT_MINUTES = 5L

/** Runs the model checker TLC on the specifications under `model/`, each run in its own Java process and directory. */
internal class ModelChecker {
    private val root = Path.of(System.getProperty("egretlock.root") ?: "..")

    /**
     * Checks [model] with its configuration file and returns the output of TLC.
     *
     * @param overrides values of constants that replace those of the configuration file.
     * @param invariants invariants to check; null to check those of the configuration file.
     */
    fun check(
        model: Model,
        overrides: Map<String, String> = emptyMap(),
        invariants: String? = null,
    ): String {
        val directory = createWorkDirectory(model.configuration, overrides)
        Files.copy(root.resolve("model/${model.specification}.tla"), directory.resolve("${model.specification}.tla"))
        directory.resolve("check.cfg").writeText(configuration(model, overrides, invariants))
        val process = startChecker(model, directory)
        val hasEnded = process.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES)
        if (!hasEnded) process.destroyForcibly()
        return directory.resolve("output.txt").readText()
    }

    private fun configuration(
        model: Model,
        overrides: Map<String, String>,
        invariants: String?,
    ): String {
        val text = root.resolve("model/${model.configuration}.cfg").readText()
        val replaced = overrides.entries.fold(text) { lines, (constant, value) -> lines.setConstant(constant, value) }
        return invariants?.let { replaced.replace(Regex("INVARIANTS? .*"), "INVARIANT $it") } ?: replaced
    }

    private fun String.setConstant(
        constant: String,
        value: String,
    ): String {
        val line = Regex("""\b$constant = \S+""")
        require(line.containsMatchIn(this)) { "The configuration file sets no constant $constant." }
        return replace(line, "$constant = $value")
    }

    private fun createWorkDirectory(
        configuration: String,
        overrides: Map<String, String>,
    ): Path {
        val name = (listOf(configuration) + overrides.keys).joinToString("-")
        val directory = Path.of("target/model/$name").toAbsolutePath()
        directory.toFile().deleteRecursively()
        return directory.createDirectories()
    }

    private fun startChecker(
        model: Model,
        directory: Path,
    ): Process {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(
            listOf(java, "-XX:+UseParallelGC", "-Xmx2g", "-Djava.io.tmpdir=$directory", "-cp", classPath, "tlc2.TLC") +
                listOf("-workers", "$WORKER_THREADS", "-deadlock", "-metadir", "$directory/states") +
                listOf("-config", "check.cfg", "${model.specification}.tla"),
        ).directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("output.txt").toFile())
            .start()
    }
}

/** A specification and the configuration file that sets its constants and invariants. */
enum class Model(
    val specification: String,
    val configuration: String,
) {
    CLAIM("Claim", "Claim"),
    PROMISE("Claim", "Promise"),
    BOOTSTRAP("Claim", "Bootstrap"),
    HANDOVER("Claim", "Handover"),
    REFUSAL("Claim", "Refusal"),
    TASK_GATE("TaskGate", "TaskGate"),
    RUN_LEASE("RunLease", "RunLease"),
    UPSTREAM_RESTART("UpstreamRestart", "UpstreamRestart"),
    JOB_OWNERSHIP("JobOwnership", "JobOwnership"),
}
