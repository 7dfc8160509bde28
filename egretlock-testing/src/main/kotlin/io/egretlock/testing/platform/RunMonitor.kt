package io.egretlock.testing.platform

import java.util.concurrent.CopyOnWriteArrayList

/** Records the tasks that the upstreams of a platform start, and which of these starts must not happen. */
class RunMonitor {
    private val upstreams = CopyOnWriteArrayList<PlatformUpstreamStandIn>()

    /** Tasks in the order in which they were started. */
    val started = CopyOnWriteArrayList<String>()

    /** Tasks that were started while another run of them was active on an upstream that is up, the same or another. */
    val overlaps = CopyOnWriteArrayList<String>()

    /** Tasks that were started on an upstream without a free core. */
    val overcommitted = CopyOnWriteArrayList<String>()

    internal fun register(upstream: PlatformUpstreamStandIn) {
        upstreams += upstream
    }

    /** Takes [upstream] for down: none of its runs goes on. */
    internal fun remove(upstream: PlatformUpstreamStandIn) {
        upstreams -= upstream
    }

    internal fun started(task: String) {
        if (upstreams.any { it.isRunning(task) }) overlaps += task
        started += task
    }
}
