package io.egretlock.bench.report

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Writes results as JSON and as SVG plots, and prints them. */
class ResultWriter(
    private val directory: Path,
) {
    private val json = Json { prettyPrint = true }

    /** Writes [result] to `NAME-SEED.json` and `NAME-SEED.svg`, and prints it. */
    fun write(result: ScenarioResult) {
        directory.createDirectories()
        val base = "${result.scenario}-${result.seed}"
        directory.resolve("$base.json").writeText(json.encodeToString(result))
        directory.resolve("$base.svg").writeText(BarPlot(result).svg())
        print(result)
    }

    private fun print(result: ScenarioResult) {
        println(
            "${result.scenario}: seed ${result.seed}, ${result.repeats} repeats of ${result.durationMillis / MILLIS} s",
        )
        result.figures.forEach { println("  ${it.load} | ${it.variant} | ${it.measure}: ${format(it.value)}") }
        result.bounds.forEach { bound ->
            val verdict = if (bound.met) "met" else "MISSED"
            println("  target ${bound.load} | ${bound.target}: ${format(bound.value)}, limit ${bound.limit}: $verdict")
        }
    }

    private fun format(value: Double): String = "%.4g".format(value)

    private companion object {
        const val MILLIS = 1_000
    }
}
