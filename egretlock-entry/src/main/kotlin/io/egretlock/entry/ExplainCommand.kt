package io.egretlock.entry

import io.egretlock.process.CommandLine
import io.egretlock.process.EXIT_FAILURE
import io.egretlock.process.EXIT_USAGE
import io.egretlock.process.explain.EventMeanings
import io.egretlock.process.explain.JobTimeline
import io.egretlock.process.explain.LogLine
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.io.path.useLines

/**
 * The command `explain`, which prints the log events of one job from log files of entries and agents. Lines that are
 * not events are skipped and counted on standard error.
 */
internal class ExplainCommand(
    private val commandLine: CommandLine,
) {
    /** Runs the command; [arguments] are the job id and the paths of the log files. */
    fun run(arguments: List<String>) {
        if (arguments.size < 2) commandLine.fail(EXIT_USAGE, listOf("Usage: egretlock-entry explain JOB FILE..."))
        val job = arguments.first()
        val lines = arguments.drop(1).flatMap { read(Path.of(it)) }
        val timeline = JobTimeline.selectOrNull(job, lines)
        if (timeline == null) commandLine.fail(EXIT_FAILURE, listOf("No line in these files is about the job '$job'."))
        println(timeline.describe(EventMeanings.load()))
    }

    private fun read(file: Path): List<LogLine> =
        try {
            val parsed = file.useLines { lines -> lines.map { LogLine.parseOrNull(it, file.name) }.toList() }
            val leftOut = parsed.count { it == null }
            if (leftOut > 0) System.err.println("$file: $leftOut lines are no events and are left out.")
            parsed.filterNotNull()
        } catch (unreadable: IOException) {
            commandLine.fail(EXIT_FAILURE, listOf("$file can't be read: $unreadable"))
        }
}
