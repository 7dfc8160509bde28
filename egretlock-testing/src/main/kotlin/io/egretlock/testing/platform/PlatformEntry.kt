package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress

/** An instance that serves callers at [callers] and the balancer at [readiness]. */
class PlatformEntry internal constructor(
    val node: PlatformNode,
    val callers: NodeAddress,
    val readiness: NodeAddress,
)
