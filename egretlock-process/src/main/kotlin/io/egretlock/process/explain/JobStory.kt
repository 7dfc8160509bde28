package io.egretlock.process.explain

/**
 * What the logs of several processes say about one job, in order of time, with the warnings that the same processes wrote
 * meanwhile: a connection that was lost or a call without an answer often explains what the job's own lines only show.
 *
 * Times of different processes are by the clocks of their instances.
 */
class JobStory private constructor(
    val job: String,
    val lines: List<LogLine>,
) {
    /** The story as text: a headline, then a line for each event, with the time since the first one. */
    fun describe(meanings: EventMeanings): String {
        val sources = lines.map { it.source }.distinct().size
        val lastMillis = lines.last().timeMillis - lines.first().timeMillis
        val headline = "Job $job: ${lines.size} lines of $sources processes, $lastMillis ms"
        return (listOf(headline) + lines.map { describe(it, meanings) }).joinToString("\n")
    }

    private fun describe(
        line: LogLine,
        meanings: EventMeanings,
    ): String {
        val sinceFirst = "${line.timeMillis - lines.first().timeMillis} ms".padStart(TIME_WIDTH)
        val warning = if (line.level in WARNINGS) "${line.level} " else ""
        val particulars = line.fields.filter { (name, value) -> name != "job" || value != job }
        val fields = particulars.entries.joinToString("") { (name, value) -> " $name=$value" }
        return "$sinceFirst  ${line.source}  $warning${line.event} ${meanings.of(line.event)}$fields"
    }

    companion object {
        private const val TIME_WIDTH = 10
        private val WARNINGS = setOf("WARN", "ERROR")

        /** The story of [job] in [lines]; null if no line is about it. */
        fun ofOrNull(
            job: String,
            lines: List<LogLine>,
        ): JobStory? {
            val own = lines.filter { it.isAbout(job) }
            if (own.isEmpty()) return null
            val sources = own.mapTo(HashSet()) { it.source }
            val period = own.minOf { it.timeMillis }..own.maxOf { it.timeMillis }
            val warnings =
                lines.filter { line ->
                    val isOfOtherJob = "job" in line.fields || "run" in line.fields
                    line.level in WARNINGS && !isOfOtherJob && line.source in sources && line.timeMillis in period
                }
            return JobStory(job, (own + warnings).distinct().sortedBy { it.timeMillis })
        }
    }
}
