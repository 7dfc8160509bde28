package io.egretlock.core.run

/**
 * A version of the operators' queue configuration. A later version replaces it as a whole.
 *
 * @property version number that increases with each change, not necessarily by one.
 */
data class QueueConfiguration(
    val version: Long,
    val routes: List<QueueRoute>,
    val maxBodyBytes: Int,
) {
    private val routesByHost = routes.groupBy { it.host }

    /** Returns the route of [host] with the longest prefix of [path]; null if none matches. */
    fun route(
        host: String,
        path: String,
    ): QueueRoute? = routesByHost[host]?.filter { path.startsWith(it.prefix) }?.maxByOrNull { it.prefix.length }
}

/** Routes requests to [host] whose path begins with [prefix] to [queue]. */
data class QueueRoute(
    val host: String,
    val prefix: String,
    val queue: JobQueue,
)
