package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress

/** An instance that runs an entry, which serves callers and the load balancer's readiness checks. */
class PlatformEntry internal constructor(
    val node: PlatformNode,
    val callersAddress: NodeAddress,
    val readinessAddress: NodeAddress,
)
