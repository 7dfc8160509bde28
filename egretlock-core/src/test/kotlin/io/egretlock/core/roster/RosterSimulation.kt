package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import kotlin.random.Random

/**
 * Several keepers with differing clocks, a store and a network under a random schedule of faults. Every id is offered to
 * every entry again and again; [settlers] tells who settled it.
 */
internal class RosterSimulation(
    seed: Long,
) {
    private val random = Random(seed)
    private val store = SimulatedStore()
    private val entries = mutableListOf<SimulatedEntry>()
    private val events = mutableListOf<Pair<Long, () -> Unit>>()
    private val ids = mutableListOf<Pair<JobId, Long>>()
    private val awayFromStore = mutableSetOf<ProcessId>()
    private var writesAreSlow = false
    private var nowMillis = START_MILLIS
    private var faulty = true

    val settlers = mutableMapOf<JobId, MutableSet<ProcessId>>()

    init {
        repeat(ENTRIES) { start(it) }
    }

    fun run(steps: Int) = repeat(steps) { step() }

    /** Ends all faults and runs until everything that was held back is due. */
    fun heal(steps: Int) {
        faulty = false
        store.isUp = true
        writesAreSlow = false
        awayFromStore.clear()
        entries.filter { it.isLeaving }.forEach { it.isAlive = false }
        if (entries.none { it.isAlive }) start(0)
        run(steps)
    }

    /** Entries that would settle a job created now. */
    fun homesOfNewJob(): List<ProcessId> {
        val id = JobId("last")
        return entries
            .filter { it.isAlive }
            .filter { it.keeper.view.homeOf(id, nowMillis, it.clock(nowMillis)) == JobHome.Here }
            .map { it.member.entry }
    }

    private fun step() {
        nowMillis += STEP_MILLIS
        if (faulty && random.nextInt(FAULT_INTERVAL_STEPS) == 0) fault()
        offerIds()
        val due = events.filter { it.first <= nowMillis }
        events.removeAll(due)
        due.shuffled(random).forEach { it.second() }
        entries.filter { it.isAlive }.forEach { probePeers(it) }
        entries.filter { it.isAlive }.forEach { tell(it, RosterInput.Tick) }
        ids += JobId("job-$nowMillis") to nowMillis + random.nextLong(-CLIENT_SPREAD_MILLIS, CLIENT_SPREAD_MILLIS)
        offerIds()
    }

    private fun offerIds() {
        for ((id, createdAtMillis) in ids.takeLast(OFFERED_IDS)) {
            val entry = entries.filter { it.isAlive }.randomOrNull(random) ?: return
            if (entry.settle(id, createdAtMillis, nowMillis)) {
                settlers.getOrPut(id) { mutableSetOf() } +=
                    entry.member.entry
            }
        }
    }

    private fun fault() {
        val entry = entries.filter { it.isAlive }.randomOrNull(random)
        when (random.nextInt(FAULTS)) {
            0 -> store.isUp = !store.isUp
            1 -> entry?.isAlive = false
            2, 3 -> if (entries.count { it.isAlive } < ENTRIES) start(random.nextInt(ENTRIES))
            4 -> entry?.pausedUntilMillis = nowMillis + random.nextLong(LONGEST_PAUSE_MILLIS)
            5 -> entry?.let(::leave)
            6 -> split()
            7 -> awayFromStore.clear()
            else -> writesAreSlow = !writesAreSlow
        }
    }

    /** Cuts the network in two; only one side reaches the store. */
    private fun split() {
        awayFromStore.clear()
        awayFromStore += entries.map { it.member.entry }.filter { random.nextBoolean() }
    }

    private fun start(number: Int) {
        if (entries.any { it.isAlive && it.member.entry.name == "entry-$number" }) return
        val member = EntryMember(ProcessId("entry-$number", nowMillis), NodeAddress("127.0.0.1", FIRST_PORT + number))
        entries += SimulatedEntry(member, random.nextLong(TIMING.clockDifferenceMillis + 1), TIMING)
    }

    private fun leave(entry: SimulatedEntry) {
        if (entry.isLeaving) return
        val heir = entries.filter { it.isAlive && it !== entry && !it.isLeaving }.randomOrNull(random) ?: return
        entry.isLeaving = true
        tell(entry, RosterInput.Leave(heir.member))
        val claims = entry.settled.toSet()
        val owned = entry.inherited + entry.member.entry
        send(entry, heir.member.entry) {
            if (!heir.isLeaving) {
                heir.settled += claims
                heir.inherited += owned
                tell(heir, RosterInput.ClaimsInherited(owned, Handover(entry.member.entry, heir.member)))
            }
        }
    }

    private fun probePeers(entry: SimulatedEntry) {
        val members =
            entry.keeper.view.history
                ?.newest
                ?.members
                .orEmpty()
        for (member in members.filter { it.entry != entry.member.entry }) {
            val peer = entries.first { it.member.entry == member.entry }
            val reaches = peer.isAlive && !isPaused(peer) && !isCut(entry.member.entry, member.entry)
            val input =
                if (reaches) {
                    RosterInput.PeerReachable(
                        member.entry,
                    )
                } else {
                    RosterInput.PeerUnreachable(member.entry, false)
                }
            tell(entry, input)
        }
    }

    private fun tell(
        entry: SimulatedEntry,
        input: RosterInput,
    ) {
        if (!entry.isAlive) return
        if (isPaused(entry)) {
            if (input != RosterInput.Tick) after(STEP_MILLIS) { tell(entry, input) }
            return
        }
        entry.keeper.accept(input, entry.clock(nowMillis)).forEach { carryOut(entry, it) }
    }

    private fun carryOut(
        entry: SimulatedEntry,
        output: RosterOutput,
    ) {
        when (output) {
            is RosterOutput.ReadStore -> read(entry)
            is RosterOutput.Publish -> publish(entry, output)
            is RosterOutput.AskPromises ->
                output.members.forEach { send(entry, it.entry, RosterInput.PromiseAsked(output.question)) }
            is RosterOutput.GivePromise ->
                send(entry, output.question.asker, RosterInput.PromiseGiven(entry.member.entry, output.question))
            is RosterOutput.TellHistory ->
                entries.forEach { send(entry, it.member.entry, RosterInput.HistoryTold(output.history)) }
            is RosterOutput.RequestJoin -> send(entry, output.member.entry, RosterInput.JoinRequested(entry.member))
        }
    }

    private fun read(entry: SimulatedEntry) {
        val startedAtMillis = entry.clock(nowMillis)
        after(delayMillis()) {
            val result = if (reachesStore(entry)) store.read(startedAtMillis) else RosterInput.StoreUnavailable
            after(delayMillis()) { tell(entry, result) }
        }
    }

    private fun publish(
        entry: SimulatedEntry,
        publication: RosterOutput.Publish,
    ) {
        if (!reachesStore(entry)) return after(PUBLICATION_TIMEOUT_MILLIS) { tell(entry, RosterInput.PublicationEnded) }
        after(if (writesAreSlow) random.nextLong(EARLIEST_MILLIS, LATEST_MILLIS) else delayMillis()) {
            store.execute(publication)
            if (faulty && random.nextInt(CUT_AFTER_WRITE_ONE_IN) == 0) split()
        }
        after(PUBLICATION_TIMEOUT_MILLIS) { tell(entry, RosterInput.PublicationEnded) }
    }

    private fun send(
        from: SimulatedEntry,
        to: ProcessId,
        input: RosterInput,
    ) {
        val receiver = entries.first { it.member.entry == to }
        send(from, to) { tell(receiver, input) }
    }

    private fun send(
        from: SimulatedEntry,
        to: ProcessId,
        delivery: () -> Unit,
    ) {
        val lost = faulty && random.nextInt(LOST_ONE_IN) == 0
        if (!lost && !isCut(from.member.entry, to)) after(delayMillis(), delivery)
    }

    private fun after(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        events += nowMillis + delayMillis to action
    }

    private fun delayMillis(): Long = random.nextLong(if (faulty) LONGEST_DELAY_MILLIS else STEP_MILLIS)

    private fun isPaused(entry: SimulatedEntry): Boolean = entry.pausedUntilMillis > nowMillis

    private fun isCut(
        first: ProcessId,
        second: ProcessId,
    ): Boolean = (first in awayFromStore) != (second in awayFromStore)

    private fun reachesStore(entry: SimulatedEntry): Boolean = entry.member.entry !in awayFromStore

    companion object {
        val TIMING =
            RosterTiming(
                clockDifferenceMillis = 2_000,
                promiseLimitMillis = 8_000,
                lostAfterMillis = 1_000,
                takeOverAfterMillis = 2_000,
                publicationMillis = 200,
                retentionMillis = 60_000,
            )
        private const val START_MILLIS = 1_000_000L
        private const val STEP_MILLIS = 100L
        private const val ENTRIES = 4
        private const val FIRST_PORT = 7_000
        private const val FAULTS = 9
        private const val FAULT_INTERVAL_STEPS = 15
        private const val OFFERED_IDS = 80
        private const val CLIENT_SPREAD_MILLIS = 3_000L
        private const val LONGEST_PAUSE_MILLIS = 8_000L
        private const val LONGEST_DELAY_MILLIS = 400L
        private const val CUT_AFTER_WRITE_ONE_IN = 2
        private const val EARLIEST_MILLIS = 3_000L
        private const val LATEST_MILLIS = 10_000L
        private const val LOST_ONE_IN = 10
        private const val PUBLICATION_TIMEOUT_MILLIS = 300L
    }
}
