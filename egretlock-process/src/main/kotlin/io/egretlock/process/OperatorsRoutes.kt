package io.egretlock.process

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.security.MessageDigest

/** What the operators' routes ask of a process. */
interface Inspectable {
    /** Whether new work is accepted; false while draining. */
    val ready: Boolean

    /** The whole state of the process as JSON text, without secrets. */
    suspend fun dump(): String
}

/**
 * The routes that every process offers its operators: `/live`, `/ready`, `/metrics` and `/dump`.
 *
 * @property token bearer token that `/metrics` and `/dump` ask for; null where the address is reachable locally only.
 */
class OperatorsRoutes(
    private val process: Inspectable,
    private val registry: PrometheusRegistry,
    private val token: String?,
) {
    /** Adds the routes to a server. */
    fun addTo(config: JavalinConfig) {
        config.routes.get("/live") { context -> context.result("live") }
        config.routes.get("/ready", ::ready)
        config.routes.get("/metrics") { context -> authorized(context) { metrics(context) } }
        config.routes.get("/dump") { context -> authorized(context) { dump(context) } }
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

    private fun authorized(
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
