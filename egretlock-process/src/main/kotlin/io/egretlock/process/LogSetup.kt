package io.egretlock.process

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.LoggerFactory

/** Format of the log on standard error. */
enum class LogFormat { TEXT, JSON }

/** Configures Logback: libraries log warnings and errors, this project logs from a given level on. */
object LogSetup {
    /** Replaces the present configuration with a log on standard error in [format]. */
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
    ): ConsoleAppender<ILoggingEvent> =
        ConsoleAppender<ILoggingEvent>().apply {
            setContext(context)
            target = "System.err"
            encoder = lineEncoder
            start()
        }
}
