package io.egretlock.core.roster

/** In-memory compare-and-swap register in place of the platform's store. */
internal class SimulatedStore {
    private var history: RosterHistory? = null
    private var revision = 0L

    var isUp = true

    fun read(startedAtMillis: Long): RosterInput =
        if (isUp) RosterInput.StoreRead(startedAtMillis, history, revision) else RosterInput.StoreUnavailable

    fun execute(publication: RosterOutput.Publish) {
        if (!isUp || publication.expectedRevision != revision) return
        history = publication.history
        revision++
    }
}
