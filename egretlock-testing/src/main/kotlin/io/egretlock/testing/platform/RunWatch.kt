package io.egretlock.testing.platform

import java.util.concurrent.CopyOnWriteArrayList

/** Sees what all upstreams of a platform run, and notes what must never happen. */
class RunWatch {
    private val upstreams = CopyOnWriteArrayList<PlatformUpstreamStandIn>()

    /** Tasks in the order in which they were started. */
    val started = CopyOnWriteArrayList<String>()

    /** Tasks that were at work twice at a time. */
    val overlaps = CopyOnWriteArrayList<String>()

    /** Upstreams that were given more tasks than they have room for. */
    val crowded = CopyOnWriteArrayList<String>()

    internal fun watch(upstream: PlatformUpstreamStandIn) {
        upstreams += upstream
    }

    internal fun started(task: String) {
        if (upstreams.any { it.isAtWork(task) }) overlaps += task
        started += task
    }
}
