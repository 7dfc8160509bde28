package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress

/** An instance that runs an agent and its [upstream]; the upstream sends its heartbeats to [heartbeatAddress]. */
class PlatformAgent internal constructor(
    val node: PlatformNode,
    val upstream: PlatformUpstream,
    val heartbeatAddress: NodeAddress,
)
