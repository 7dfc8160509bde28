package io.egretlock.core.model

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText

private const val WORKERS = 3
private const val TIMEOUT_MINUTES = 5L

/** Runs TLC on the specifications under `model/`, each run in a Java process and a directory of its own. */
internal class ModelChecker {
    private val root = Path.of(System.getProperty("egretlock.root") ?: "..")

    /** Checks [model] with its configuration file, after setting the [overrides], and only [invariants] if given. */
    fun check(
        model: Model,
        overrides: Map<String, String> = emptyMap(),
        invariants: String? = null,
    ): String {
        val directory = workDirectory(model.configuration, overrides)
        Files.copy(root.resolve("model/${model.specification}.tla"), directory.resolve("${model.specification}.tla"))
        directory.resolve("check.cfg").writeText(configuration(model, overrides, invariants))
        val process = start(model, directory)
        val ended = process.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES)
        if (!ended) process.destroyForcibly()
        return directory.resolve("output.txt").readText()
    }

    private fun configuration(
        model: Model,
        overrides: Map<String, String>,
        invariants: String?,
    ): String {
        val text = root.resolve("model/${model.configuration}.cfg").readText()
        val replaced = overrides.entries.fold(text) { present, (constant, value) -> present.with(constant, value) }
        return invariants?.let { replaced.replace(Regex("INVARIANTS? .*"), "INVARIANT $it") } ?: replaced
    }

    private fun String.with(
        constant: String,
        value: String,
    ): String {
        val line = Regex("""\b$constant = \S+""")
        require(line.containsMatchIn(this)) { "There is no constant $constant." }
        return replace(line, "$constant = $value")
    }

    private fun workDirectory(
        configuration: String,
        overrides: Map<String, String>,
    ): Path {
        val name = (listOf(configuration) + overrides.keys).joinToString("-")
        val directory = Path.of("target/model/$name").toAbsolutePath()
        directory.toFile().deleteRecursively()
        return directory.createDirectories()
    }

    private fun start(
        model: Model,
        directory: Path,
    ): Process {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("java.class.path")
        return ProcessBuilder(
            listOf(java, "-XX:+UseParallelGC", "-Xmx2g", "-Djava.io.tmpdir=$directory", "-cp", classPath, "tlc2.TLC") +
                listOf("-workers", "$WORKERS", "-deadlock", "-metadir", "$directory/states") +
                listOf("-config", "check.cfg", "${model.specification}.tla"),
        ).directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("output.txt").toFile())
            .start()
    }
}

/** A specification and the configuration file that bounds it. */
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
}
