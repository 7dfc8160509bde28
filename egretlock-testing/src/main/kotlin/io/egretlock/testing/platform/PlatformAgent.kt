package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress

/** An instance with an [upstream] at [address], which reports to the agent at [heartbeats]. */
class PlatformAgent internal constructor(
    val node: PlatformNode,
    val upstream: PlatformUpstreamStandIn,
    val address: NodeAddress,
    val heartbeats: NodeAddress,
)
