package io.egretlock.core.run

/**
 * One version of the operators' configuration of queues; a later version replaces it as a whole.
 *
 * @property version rises with each change, in uneven steps.
 */
data class QueueConfiguration(
    val version: Long,
    val routes: List<QueueRoute>,
    val largestBodyBytes: Int,
) {
    private val routesByHost = routes.groupBy { it.host }

    /** The route with the longest prefix of [path] among those of [host]; null if there is none. */
    fun route(
        host: String,
        path: String,
    ): QueueRoute? = routesByHost[host]?.filter { path.startsWith(it.prefix) }?.maxByOrNull { it.prefix.length }
}

/** Requests to [host] whose path begins with [prefix] go to [queue]. */
data class QueueRoute(
    val host: String,
    val prefix: String,
    val queue: JobQueue,
)
