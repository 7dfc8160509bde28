package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId
import kotlinx.serialization.Serializable

/**
 * Request of [asker] to all other members for a promise that the roster of [version] is the newest they know.
 *
 * @property number counts up with each question of [asker].
 */
@Serializable
data class PromiseQuestion(
    val asker: ProcessId,
    val number: Long,
    val version: Long,
)

/**
 * Horizon up to which one entry may claim jobs: the window after its last confirmation. A store read is a confirmation;
 * while the store is down, so are promises of all other members. A member promises only if it knows no newer roster and
 * the outcome of its own last publication is known.
 */
internal class ClaimAuthority(
    private val timing: RosterTiming,
) {
    private var lastReadMillis: Long? = null
    private var question: PromiseQuestion? = null
    private var askedAtMillis = 0L
    private var questionCount = 0L
    private val promisedBy = mutableSetOf<ProcessId>()

    /** Creation time before which jobs may be claimed, in milliseconds since the epoch. */
    var horizonMillis: Long = Long.MIN_VALUE
        private set

    /** Extends the horizon after a store read that began at [startedAtMillis] and returned no roster unknown here. */
    fun recordStoreRead(startedAtMillis: Long) {
        lastReadMillis = maxOf(lastReadMillis ?: startedAtMillis, startedAtMillis)
        extendTo(startedAtMillis + timing.windowMillis)
    }

    /** Starts a new question; promises for earlier ones no longer count. */
    fun ask(
        asker: ProcessId,
        version: Long,
        nowMillis: Long,
    ): PromiseQuestion {
        discardQuestion()
        askedAtMillis = nowMillis
        return PromiseQuestion(asker, ++questionCount, version).also { question = it }
    }

    /** Discards the open question. Called when a newer roster becomes known: promises cover the former one only. */
    fun discardQuestion() {
        question = null
        promisedBy.clear()
    }

    /** Records a promise; returns whether all [others] have promised and the horizon was extended. */
    fun recordPromise(
        from: ProcessId,
        answeredQuestion: PromiseQuestion,
        others: Set<ProcessId>,
    ): Boolean {
        if (answeredQuestion != question) return false
        promisedBy += from
        return confirmIfUnanimous(others)
    }

    /** Extends the horizon if all [others] have promised. */
    fun confirmIfUnanimous(others: Set<ProcessId>): Boolean {
        val readAtMillis = lastReadMillis
        if (question == null || readAtMillis == null || !promisedBy.containsAll(others)) return false
        extendTo(minOf(askedAtMillis + timing.windowMillis, readAtMillis + timing.promiseLimitMillis))
        return true
    }

    private fun extendTo(untilMillis: Long) {
        horizonMillis = maxOf(horizonMillis, untilMillis)
    }
}
