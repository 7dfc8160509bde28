package io.egretlock.bench

import io.egretlock.bench.report.ResultWriter
import io.egretlock.bench.scenario.BlackHoleScenario
import io.egretlock.bench.scenario.BlockingScenario
import io.egretlock.bench.scenario.CrestScenario
import io.egretlock.bench.scenario.FairnessScenario
import io.egretlock.bench.scenario.ProcessBlackHoleScenario
import io.egretlock.bench.scenario.ProcessCrestScenario
import io.egretlock.bench.scenario.ProcessFairnessScenario
import io.egretlock.bench.scenario.ProcessScenario
import io.egretlock.bench.scenario.ProcessStragglerScenario
import io.egretlock.bench.scenario.Scenario
import io.egretlock.bench.scenario.ScenarioOptions
import io.egretlock.bench.scenario.SteadyScenario
import io.egretlock.bench.scenario.StragglerScenario
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_MISSED = 1
private const val MILLIS_PER_SECOND = 1_000.0
private const val DEFAULT_SECONDS = 120
private const val DEFAULT_REPEATS = 5
private const val ALL = "all"

private val SCENARIOS: List<Scenario> =
    listOf(
        SteadyScenario(),
        CrestScenario(),
        BlockingScenario(),
        FairnessScenario(),
        BlackHoleScenario(),
        StragglerScenario(),
    )

private val PROCESS_SCENARIOS: List<Scenario> =
    listOf(
        ProcessScenario(),
        ProcessFairnessScenario(),
        ProcessBlackHoleScenario(),
        ProcessStragglerScenario(),
        ProcessCrestScenario.RETURNS,
        ProcessCrestScenario.RESUBMITS,
    )

/**
 * Runs one scenario, or all scenarios in virtual time. With `--check`, exits with [EXIT_MISSED] if a target is missed.
 */
fun main(arguments: Array<String>) {
    val parser = ArgParser("bench")
    val names = (SCENARIOS + PROCESS_SCENARIOS).map { it.name } + ALL
    val name by parser.argument(ArgType.Choice(names, { it }), fullName = "name", description = "Scenario to run")
    val seed by parser.option(ArgType.Int, description = "First seed").default(1)
    val repeats by parser.option(ArgType.Int, description = "Runs with successive seeds").default(DEFAULT_REPEATS)
    val duration by parser.option(ArgType.Int, description = "Seconds of arrivals").default(DEFAULT_SECONDS)
    val check by parser.option(ArgType.Boolean, description = "Fail if a target is missed").default(false)
    val output by parser.option(ArgType.String, description = "Directory for results").default("bench-results")
    parser.parse(arguments)
    val writer = ResultWriter(Path.of(output))
    val options = ScenarioOptions(seed.toLong(), repeats, duration * MILLIS_PER_SECOND)
    val chosen =
        when (name) {
            ALL -> SCENARIOS
            else -> (SCENARIOS + PROCESS_SCENARIOS).filter { it.name == name }
        }
    val results = chosen.map { it.run(options).also(writer::write) }
    if (check && results.any { result -> result.bounds.any { !it.met } }) exitProcess(EXIT_MISSED)
}
