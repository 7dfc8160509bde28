package io.egretlock.process.log

/**
 * Formats one line of the structured log: a JSON object with `time` in milliseconds since 1970, `level`, and its
 * fields. Numbers and booleans are written as such, all other values as strings.
 */
internal object LogLine {
    private const val TYPICAL_LENGTH = 160

    /** Returns the line without a line break. */
    fun format(
        timeMillis: Long,
        level: String,
        fields: List<Pair<String, Any?>>,
    ): String {
        val line = StringBuilder(TYPICAL_LENGTH)
        line.append("{\"time\":").append(timeMillis)
        appendField(line, "level", level)
        fields.forEach { (name, value) -> appendField(line, name, value) }
        return line.append('}').toString()
    }

    private fun appendField(
        line: StringBuilder,
        name: String,
        value: Any?,
    ) {
        line.append(",\"").append(name).append("\":")
        when (value) {
            null, is Number, is Boolean -> line.append(value)
            else -> appendText(line, value.toString())
        }
    }

    private fun appendText(
        line: StringBuilder,
        value: String,
    ) {
        line.append('"')
        for (character in value) {
            when {
                character == '"' || character == '\\' -> line.append('\\').append(character)
                character < ' ' -> line.append(' ')
                else -> line.append(character)
            }
        }
        line.append('"')
    }
}
