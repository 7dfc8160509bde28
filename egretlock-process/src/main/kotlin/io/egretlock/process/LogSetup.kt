package io.egretlock.process

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.LoggerFactory

/** Form of the log on standard error. */
enum class LogFormat { TEXT, JSON }

/** Sets up logging to standard error: warnings of libraries, and everything from [level] on of this project. */
object LogSetup {
    /** Replaces whatever configuration stands. */
    fun apply(
        format: LogFormat,
        level: Level = Level.INFO,
    ) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.WARN
        root.addAppender(appender(context, encoder(context, format)))
        context.getLogger("io.egretlock").level = level
    }

    /**
     * Replaces whatever configuration stands: one line of JSON for each event on standard output. Lines are written by a
     * thread of their own; where it can't keep up, lines are dropped rather than waited for.
     */
    fun applyStructured(level: Level = Level.INFO) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.WARN
        val queue =
            AsyncAppender().apply {
                setContext(context)
                queueSize = QUEUED_LINES
                isNeverBlock = true
                addAppender(appender(context, EventLineEncoder().apply { start() }, "System.out"))
                start()
            }
        root.addAppender(queue)
        context.getLogger("io.egretlock").level = level
    }

    private fun encoder(
        context: LoggerContext,
        format: LogFormat,
    ): Encoder<ILoggingEvent> =
        when (format) {
            LogFormat.TEXT -> PatternLayoutEncoder().apply { pattern = "%d{ISO8601} %-5level %logger{0} %msg%n" }
            LogFormat.JSON -> JsonEncoder()
        }.apply {
            setContext(context)
            start()
        }

    private fun appender(
        context: LoggerContext,
        lineEncoder: Encoder<ILoggingEvent>,
        stream: String = "System.err",
    ): ConsoleAppender<ILoggingEvent> =
        ConsoleAppender<ILoggingEvent>().apply {
            setContext(context)
            target = stream
            encoder = lineEncoder
            start()
        }

    /** Lines that wait to be written: about a second of the busiest log. */
    private const val QUEUED_LINES = 2_048
}
