package io.egretlock.core.roster

import io.egretlock.core.job.JobId

/**
 * Rendezvous (highest random weight) hashing: each member has a weight for each job, and the member with the largest
 * weight is the job's home. When a member leaves, only its own jobs move. Weights are 64-bit FNV-1a hashes that have
 * passed through the finalizer of MurmurHash3.
 */
object RendezvousHash {
    private const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val FIRST_MULTIPLIER = -0xae502812aa7333L
    private const val SECOND_MULTIPLIER = -0x3b314601e57a13adL
    private const val FINALIZER_SHIFT = 33

    /** Home of [id]: the one of [members] with the largest weight; null if there are none. */
    fun home(
        members: List<EntryMember>,
        id: JobId,
    ): EntryMember? = heaviest(members, "$id") { it.entry.toString() }

    /**
     * The member with the largest weight for [key]; null if there are no [members]. A weight depends on the member's
     * [name], which also breaks ties.
     */
    fun <T> heaviest(
        members: Collection<T>,
        key: String,
        name: (T) -> String,
    ): T? = members.maxWithOrNull(compareBy({ weight(name(it), key) }, name))

    private fun weight(
        member: String,
        key: String,
    ): Long =
        finalize("$member/$key".fold(FNV_OFFSET_BASIS) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME })

    private fun finalize(hash: Long): Long {
        val first = (hash xor (hash ushr FINALIZER_SHIFT)) * FIRST_MULTIPLIER
        val second = (first xor (first ushr FINALIZER_SHIFT)) * SECOND_MULTIPLIER
        return second xor (second ushr FINALIZER_SHIFT)
    }
}
