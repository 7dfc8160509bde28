package io.egretlock.process

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.encoder.EncoderBase

/**
 * Encodes each log event as one line of JSON: `time` in milliseconds since 1970, `level`, `event` if it has a number,
 * and its fields. Numbers and booleans are written as such, all other values as strings.
 */
class EventLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray? = null

    override fun footerBytes(): ByteArray? = null

    override fun encode(event: ILoggingEvent): ByteArray {
        val line = StringBuilder(TYPICAL_LINE_LENGTH)
        line.append("{\"time\":").append(event.timeStamp)
        appendField(line, "level", event.level.toString())
        val pairs = event.keyValuePairs.orEmpty()
        pairs.forEach { appendField(line, it.key, it.value) }
        if (pairs.isEmpty()) appendField(line, "message", event.formattedMessage)
        event.throwableProxy?.let { appendField(line, "cause", "${it.className}: ${it.message}") }
        return line.append("}\n").toString().encodeToByteArray()
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

    private companion object {
        const val TYPICAL_LINE_LENGTH = 160
    }
}
