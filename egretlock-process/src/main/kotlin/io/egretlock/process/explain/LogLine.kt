package io.egretlock.process.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/**
 * A numbered event of a process's structured log.
 *
 * @property source process that logged the line: the last word before the JSON object, or the file name if none.
 * @property timeMillis milliseconds since 1970, by the clock of the process's instance.
 * @property fields the remaining fields, in the order of the line.
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

        /** Parses one line; null if it is not a numbered event, such as a line of the Java runtime. */
        fun parseOrNull(
            text: String,
            fileName: String,
        ): LogLine? {
            val start = text.indexOf('{')
            val line = if (start < 0) null else objectOrNull(text.substring(start))
            val time = line?.primitiveOrNull("time")?.longOrNull
            val event = line?.primitiveOrNull("event")?.intOrNull
            if (line == null || time == null || event == null) return null
            val prefix = text.substring(0, start).trim()
            return LogLine(
                source = if (prefix.isEmpty()) fileName else prefix.substringAfterLast(' '),
                timeMillis = time,
                level = line.primitiveOrNull("level")?.contentOrNull.orEmpty(),
                event = event,
                fields = line.filterKeys { it !in HEADER }.mapValues { (_, value) -> textOf(value as? JsonPrimitive) },
            )
        }

        private fun objectOrNull(text: String): JsonObject? =
            try {
                Json.parseToJsonElement(text) as? JsonObject
            } catch (_: SerializationException) {
                null
            }

        private fun JsonObject.primitiveOrNull(name: String): JsonPrimitive? = get(name) as? JsonPrimitive

        private fun textOf(value: JsonPrimitive?): String = value?.contentOrNull ?: "-"
    }
}
