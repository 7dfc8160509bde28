package io.egretlock.process.log

import org.slf4j.Marker
import org.slf4j.event.KeyValuePair
import org.slf4j.event.Level
import org.slf4j.event.LoggingEvent
import org.slf4j.helpers.LegacyAbstractLogger
import org.slf4j.helpers.MessageFormatter
import org.slf4j.spi.LoggingEventAware

/**
 * SLF4J logger that writes events of [threshold] and above as lines of JSON. An event with key-value pairs is written
 * with these as its fields, any other with its message.
 */
internal class StructuredLogger(
    loggerName: String,
    private val threshold: Level,
    private val write: (String) -> Unit,
) : LegacyAbstractLogger(),
    LoggingEventAware {
    init {
        name = loggerName
    }

    override fun isTraceEnabled(): Boolean = isEnabled(Level.TRACE)

    override fun isDebugEnabled(): Boolean = isEnabled(Level.DEBUG)

    override fun isInfoEnabled(): Boolean = isEnabled(Level.INFO)

    override fun isWarnEnabled(): Boolean = isEnabled(Level.WARN)

    override fun isErrorEnabled(): Boolean = isEnabled(Level.ERROR)

    override fun log(event: LoggingEvent) {
        val pairs = event.keyValuePairs.orEmpty().map { pair: KeyValuePair -> pair.key to pair.value }
        writeLine(event.level, pairs.ifEmpty { messageField(event.message, event.argumentArray) }, event.throwable)
    }

    override fun handleNormalizedLoggingCall(
        level: Level,
        marker: Marker?,
        messagePattern: String?,
        arguments: Array<out Any?>?,
        throwable: Throwable?,
    ) = writeLine(level, messageField(messagePattern, arguments), throwable)

    override fun getFullyQualifiedCallerName(): String? = null

    private fun isEnabled(level: Level): Boolean = level.toInt() >= threshold.toInt()

    private fun messageField(
        pattern: String?,
        arguments: Array<out Any?>?,
    ): List<Pair<String, Any?>> = listOf("message" to MessageFormatter.basicArrayFormat(pattern, arguments))

    private fun writeLine(
        level: Level,
        fields: List<Pair<String, Any?>>,
        cause: Throwable?,
    ) {
        val causeField = if (cause == null) emptyList() else listOf("cause" to "$cause")
        write(LogLine.format(System.currentTimeMillis(), level.name, fields + causeField))
    }
}
