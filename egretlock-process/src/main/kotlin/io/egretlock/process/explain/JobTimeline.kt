package io.egretlock.process.explain

/**
 * Log lines of several processes about one job, ordered by time, with the warnings and errors that the same processes
 * logged in the same period: a lost connection or an unanswered call often explains the job's own lines.
 *
 * Times come from the clocks of the processes' instances, which may differ.
 */
class JobTimeline private constructor(
    val job: String,
    val lines: List<LogLine>,
) {
    /** Formats the lines as text: a headline, then a line for each event with its time since the first event. */
    fun describe(meanings: EventMeanings): String {
        val sources = lines.map { it.source }.distinct().size
        val durationMillis = lines.last().timeMillis - lines.first().timeMillis
        val headline = "Job $job: ${lines.size} lines of $sources processes, $durationMillis ms"
        return (listOf(headline) + lines.map { describe(it, meanings) }).joinToString("\n")
    }

    private fun describe(
        line: LogLine,
        meanings: EventMeanings,
    ): String {
        val sinceFirst = "${line.timeMillis - lines.first().timeMillis} ms".padStart(TIME_COLUMN_WIDTH)
        val warning = if (line.level in WARNING_LEVELS) "${line.level} " else ""
        val otherFields = line.fields.filter { (name, value) -> name != "job" || value != job }
        val fields = otherFields.entries.joinToString("") { (name, value) -> " $name=$value" }
        return "$sinceFirst  ${line.source}  $warning${line.event} ${meanings.of(line.event)}$fields"
    }

    companion object {
        private const val TIME_COLUMN_WIDTH = 10
        private val WARNING_LEVELS = setOf("WARN", "ERROR")

        /** Selects the lines that concern [job] from [lines]; null if none is about it. */
        fun selectOrNull(
            job: String,
            lines: List<LogLine>,
        ): JobTimeline? {
            val jobLines = lines.filter { it.isAbout(job) }
            if (jobLines.isEmpty()) return null
            val sources = jobLines.mapTo(HashSet()) { it.source }
            val period = jobLines.minOf { it.timeMillis }..jobLines.maxOf { it.timeMillis }
            val warnings =
                lines.filter { line ->
                    val isOfOtherJob = "job" in line.fields || "run" in line.fields
                    line.level in WARNING_LEVELS && !isOfOtherJob && line.source in sources && line.timeMillis in period
                }
            return JobTimeline(job, (jobLines + warnings).distinct().sortedBy { it.timeMillis })
        }
    }
}
