package io.egretlock.process.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/**
 * One line of a process's structured log.
 *
 * @property source process that wrote it: the last word before the JSON object, else the name of the file.
 * @property timeMillis time since 1970, by the clock of the process's instance.
 * @property fields particulars in the order of the line.
 */
data class LogLine(
    val source: String,
    val timeMillis: Long,
    val level: String,
    val event: Int,
    val fields: Map<String, String>,
) {
    /** Whether the line is about the job with the id [job] or about one of its runs. */
    fun isAbout(job: String): Boolean = fields["job"] == job || fields["run"].orEmpty().startsWith("$job.")

    companion object {
        private val HEADER = setOf("time", "level", "event")

        /** Reads one line; null if it is no numbered event, as lines of the runtime itself. */
        fun parseOrNull(
            text: String,
            fileName: String,
        ): LogLine? {
            val start = text.indexOf('{')
            val line = if (start < 0) null else objectOrNull(text.substring(start))
            val time = line?.primitive("time")?.longOrNull
            val event = line?.primitive("event")?.intOrNull
            if (line == null || time == null || event == null) return null
            val prefix = text.substring(0, start).trim()
            return LogLine(
                source = if (prefix.isEmpty()) fileName else prefix.substringAfterLast(' '),
                timeMillis = time,
                level = line.primitive("level")?.contentOrNull.orEmpty(),
                event = event,
                fields = line.filterKeys { it !in HEADER }.mapValues { (_, value) -> plain(value as? JsonPrimitive) },
            )
        }

        private fun objectOrNull(text: String): JsonObject? =
            try {
                Json.parseToJsonElement(text) as? JsonObject
            } catch (_: SerializationException) {
                null
            }

        private fun JsonObject.primitive(name: String): JsonPrimitive? = get(name) as? JsonPrimitive

        private fun plain(value: JsonPrimitive?): String = value?.contentOrNull ?: "-"
    }
}
