package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId
import kotlinx.serialization.Serializable

/** One question of [asker] to all other members: is the roster of [version] the newest that you know of? */
@Serializable
data class PromiseQuestion(
    val asker: ProcessId,
    val number: Long,
    val version: Long,
)

/**
 * How far one entry may claim jobs: up to the window after its last confirmation. A store read confirms; while the store
 * is down, so do promises of all other members, each of which holds no newer roster and has no unsettled publication.
 */
internal class ClaimAuthority(
    private val timing: RosterTiming,
) {
    private var lastReadMillis: Long? = null
    private var question: PromiseQuestion? = null
    private var askedAtMillis = 0L
    private var questions = 0L
    private val promisers = mutableSetOf<ProcessId>()

    /** Jobs created before it may be claimed. */
    var horizonMillis: Long = Long.MIN_VALUE
        private set

    /** The store was read by a call that began at [startedAtMillis] and showed no roster that is not known. */
    fun storeRead(startedAtMillis: Long) {
        lastReadMillis = maxOf(lastReadMillis ?: startedAtMillis, startedAtMillis)
        extendTo(startedAtMillis + timing.windowMillis)
    }

    /** Begins a new question; promises for earlier ones no longer count. */
    fun ask(
        asker: ProcessId,
        version: Long,
        nowMillis: Long,
    ): PromiseQuestion {
        forgetQuestion()
        askedAtMillis = nowMillis
        return PromiseQuestion(asker, ++questions, version).also { question = it }
    }

    /** Another roster became known, so that promises for the former one count no longer. */
    fun forgetQuestion() {
        question = null
        promisers.clear()
    }

    /** Records a promise; returns whether those of all [others] are there. */
    fun promised(
        from: ProcessId,
        answered: PromiseQuestion,
        others: Set<ProcessId>,
    ): Boolean {
        if (answered != question) return false
        promisers += from
        return confirmIfUnanimous(others)
    }

    /** Extends the horizon if all [others] have promised. */
    fun confirmIfUnanimous(others: Set<ProcessId>): Boolean {
        val readAtMillis = lastReadMillis
        if (question == null || readAtMillis == null || !promisers.containsAll(others)) return false
        extendTo(minOf(askedAtMillis + timing.windowMillis, readAtMillis + timing.promiseLimitMillis))
        return true
    }

    private fun extendTo(untilMillis: Long) {
        horizonMillis = maxOf(horizonMillis, untilMillis)
    }
}
