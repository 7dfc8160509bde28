package io.egretlock.protocol

/** Timing of the connections that carry runs, the same at both ends: the entry's and the agent's. */
object RunLinkTiming {
    /** Messages of these connections have some kilobytes; the largest are orders and the configuration, up to 1 MiB. */
    private const val LARGEST_FRAME_BYTES = 4 * 1_024 * 1_024

    /**
     * A connection that carries runs is busy. Agent and entry then both detect a silent connection after
     * `silenceMillis`. The callers of an unreachable entry notice at the same time and repeat their requests 1300 ms
     * later; well before that, the agent has stopped the runs of that entry.
     *
     * An idle connection carries no run that would have to be stopped. Most connections are idle, since an entry orders
     * from the agents that prefer it first, so their heartbeats are rarer: their number is that of the entries times
     * that of the agents.
     */
    val TIMING =
        LinkTiming(
            heartbeatMillis = 150,
            silenceMillis = 600,
            idleHeartbeatMillis = 600,
            idleSilenceMillis = 2_000,
            connectMillis = 500,
            largestFrameBytes = LARGEST_FRAME_BYTES,
        )
}
