package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.RendezvousHash

/** An entry that an agent is connected to. */
data class KnownEntry(
    val entry: ProcessId,
    val failureDomain: FailureDomain,
)

/**
 * Decides which entry has the first call on the room of an agent's upstream.
 *
 * Answers many entries that choose among the same upstreams from reports that are some time old: all see the same room and
 * take it at once, and all but one are refused. Where each upstream is preferred by one entry, which alone orders from it
 * while its own upstreams have room, that entry's knowledge is exact. Entries of the agent's failure domain go before
 * others; among them each gets about the same number of agents, and an entry that leaves or comes moves only its share.
 */
object EntryPreference {
    /** The entry of [entries] that the agent named [agent] in [failureDomain] prefers; null if there is none. */
    fun preferred(
        agent: String,
        failureDomain: FailureDomain,
        entries: Collection<KnownEntry>,
    ): ProcessId? {
        val near = entries.filter { it.failureDomain == failureDomain }.ifEmpty { entries }
        return RendezvousHash.heaviest(near, agent) { it.entry.name }?.entry
    }
}
