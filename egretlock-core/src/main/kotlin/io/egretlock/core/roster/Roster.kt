package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId
import kotlinx.serialization.Serializable

/**
 * The entries that may claim the jobs created from a point in time on. All times are milliseconds since the epoch.
 *
 * @property version increases by one with each publication.
 * @property effectiveFromMillis jobs created from then on have their home among these members.
 * @property holdMillis time after storing for which entries that don't know this roster may still claim under an older
 * one, in milliseconds.
 * @property storedByMillis earliest time, by some entry's clock, at which this roster is known to have been stored.
 */
@Serializable
data class Roster(
    val version: Long,
    val effectiveFromMillis: Long,
    val members: List<EntryMember>,
    val holdMillis: Long = 0,
    val storedByMillis: Long? = null,
)

/** A member of a roster and the address to which agents and other entries connect. */
@Serializable
data class EntryMember(
    val entry: ProcessId,
    val address: NodeAddress,
)

/** An IP address and a TCP port. */
@Serializable
data class NodeAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Largest TCP port. */
        const val LARGEST_PORT = 65_535

        /** Reads `host:port`; null if [text] is not of that form. */
        fun parse(text: String): NodeAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..LARGEST_PORT }
            val host = text.substringBeforeLast(':', "").takeIf { it.isNotBlank() }
            return if (port == null || host == null) null else NodeAddress(host, port)
        }
    }
}
