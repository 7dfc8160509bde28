package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.RendezvousHash

/** An entry that an agent is connected to. */
data class ConnectedEntry(
    val entry: ProcessId,
    val failureDomain: FailureDomain,
)

/**
 * Decides which entry an agent prefers. The preferred entry uses the agent's upstream before other entries do.
 *
 * Without a preference, many entries that choose among the same upstreams from reports that are slightly out of date
 * see the same free room and order it at the same time; all but one are refused. Since an entry orders from its own
 * preferred upstreams first, and other entries turn to them only when theirs are full, its view of their room is exact.
 * Entries in the agent's failure domain are chosen before others. Each entry is preferred by about the same number of
 * agents, and an entry that joins or leaves changes the preference of its own share of the agents only.
 */
object EntryPreference {
    /**
     * Returns the entry of [entries] that the agent named [agent] in [failureDomain] prefers; null if there is none.
     */
    fun preferred(
        agent: String,
        failureDomain: FailureDomain,
        entries: Collection<ConnectedEntry>,
    ): ProcessId? {
        val candidates = entries.filter { it.failureDomain == failureDomain }.ifEmpty { entries }
        return RendezvousHash.heaviest(candidates, agent) { it.entry.name }?.entry
    }
}
