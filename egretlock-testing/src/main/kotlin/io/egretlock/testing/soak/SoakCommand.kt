package io.egretlock.testing.soak

import io.egretlock.process.FlagParser
import io.egretlock.process.Setting
import io.egretlock.process.SettingReader
import kotlin.system.exitProcess

/** The subcommand `soak`: does runs with consecutive seeds until its time is over; fails if one has violations. */
object SoakCommand {
    private const val EXIT_USAGE = 2
    private const val EXIT_VIOLATIONS = 1
    private const val LARGEST_SEED = 1_000_000_000L
    private const val LONGEST_MINUTES = 600L
    private const val LARGEST_COUNT = 100L
    private const val MILLIS_PER_SECOND = 1_000L
    private const val NANOS_PER_MINUTE = 60_000_000_000L
    private val faultKinds = mapOf("all" to SoakFaultKind.entries, "restarts" to SoakFaultKind.RESTARTS)

    private val seed = Setting("seed", "Seed of the first run; the next ones follow it.", "1")
    private val minutes = Setting("minutes", "Time in which runs begin, in minutes; 0 does a single run.", "0")
    private val seconds = Setting("seconds", "Time in which faults begin in each run, in seconds.", "20")
    private val entries = Setting("entries", "Entries of the system.", "3")
    private val agents = Setting("agents", "Agents of the system, each with an upstream.", "4")
    private val callers = Setting("callers", "Callers that submit one job after the other.", "24")
    private val faults = Setting("faults", "Faults that are injected, all or restarts (of upstreams).", "all")
    private val settings = listOf(seed, minutes, seconds, entries, agents, callers, faults)

    /** Does all runs and exits. */
    fun run(arguments: List<String>) {
        val flags = FlagParser("soak", settings).parse(arguments)
        val reader = SettingReader(flags, System.getenv())
        val first =
            SoakSettings(
                seed = reader.number(seed, 0..LARGEST_SEED),
                faultMillis = reader.number(seconds, 1..LONGEST_MINUTES).toLong() * MILLIS_PER_SECOND,
                entryCount = reader.number(entries, 1..LARGEST_COUNT).toInt(),
                agentCount = reader.number(agents, 1..LARGEST_COUNT).toInt(),
                callerCount = reader.number(callers, 1..LARGEST_COUNT).toInt(),
                faultKinds = faultKinds.getValue(reader.choice(faults, faultKinds.keys.toList())),
            )
        val endAt = System.nanoTime() + reader.number(minutes, 0..LONGEST_MINUTES).toLong() * NANOS_PER_MINUTE
        if (reader.faults.isNotEmpty()) {
            reader.faults.forEach { System.err.println(it) }
            exitProcess(EXIT_USAGE)
        }
        var next = first
        var broken = 0
        do {
            val report = Soak(next).run()
            printReport(report)
            if (report.violations.isNotEmpty()) broken++
            next = next.copy(seed = next.seed + 1)
        } while (System.nanoTime() < endAt)
        println("soak: ${next.seed - first.seed} runs, $broken broken")
        exitProcess(if (broken == 0) 0 else EXIT_VIOLATIONS)
    }

    private fun printReport(report: SoakReport) {
        val violations = report.violations
        val faultCount = report.faults.size
        val counts = "$faultCount faults, answers ${report.answers}, ${violations.size} violations"
        println("soak: seed ${report.settings.seed}, $counts")
        if (violations.isEmpty()) return
        report.faults.forEach { println("soak:   fault $it") }
        violations.forEach { println("soak:   BROKEN $it") }
    }
}
