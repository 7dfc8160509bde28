package io.egretlock.agent

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.Link

/** A connection to an entry that has answered with a `Welcome` message. */
internal class EntryConnection(
    val entry: ProcessId,
    val address: NodeAddress,
    val link: Link,
)
