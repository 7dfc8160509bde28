package io.egretlock.process

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.security.MessageDigest

/** State of a process that [OperatorsRoutes] exposes. */
interface Inspectable {
    /** Whether the process accepts new work; false while it is draining. */
    val ready: Boolean

    /** Complete state of the process as JSON text, without secrets. */
    suspend fun dump(): String
}

/**
 * HTTP routes of every process for its operators: `/live`, `/ready`, `/metrics` and `/dump`.
 *
 * @property token bearer token that `/metrics` and `/dump` require; null if the address is a loopback address.
 */
class OperatorsRoutes(
    private val process: Inspectable,
    private val registry: PrometheusRegistry,
    private val token: String?,
) {
    /** Adds the routes to the server configuration [config]. */
    fun addTo(config: JavalinConfig) {
        config.routes.get("/live") { context -> context.result("live") }
        config.routes.get("/ready", ::ready)
        config.routes.get("/metrics") { context -> ifAuthorized(context) { metrics(context) } }
        config.routes.get("/dump") { context -> ifAuthorized(context) { dump(context) } }
    }

    private fun ready(context: Context) {
        context.status(if (process.ready) HTTP_OK else HTTP_UNAVAILABLE)
        context.result(if (process.ready) "ready" else "draining")
    }

    private fun metrics(context: Context) {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        context.contentType(PrometheusTextFormatWriter.CONTENT_TYPE).result(bytes.toByteArray())
    }

    private fun dump(context: Context) {
        context.contentType("application/json").result(kotlinx.coroutines.runBlocking { process.dump() })
    }

    private fun ifAuthorized(
        context: Context,
        body: () -> Unit,
    ) {
        if (tokenMatches(context.header("Authorization"))) body() else context.status(HTTP_UNAUTHORIZED)
    }

    private fun tokenMatches(header: String?): Boolean =
        token == null || MessageDigest.isEqual("Bearer $token".toByteArray(), header.orEmpty().toByteArray())

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAUTHORIZED = 401
        const val HTTP_UNAVAILABLE = 503
    }
}
