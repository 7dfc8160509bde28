package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import kotlin.random.Random

/**
 * Simulation of several keepers with differing clocks, a store and a network under a random schedule of faults. Each of
 * the newest ids is offered again and again to random entries; [settlers] holds the entries that settled it. To
 * settle an id is to claim it or to refuse it finally as not run.
 */
internal class RosterSimulation(
    seed: Long,
) {
    private val random = Random(seed)
    private val store = SimulatedStore()
    private val entries = mutableListOf<SimulatedEntry>()
    private val events = mutableListOf<Pair<Long, () -> Unit>>()
    private val ids = mutableListOf<Pair<JobId, Long>>()
    private val cutOffFromStore = mutableSetOf<ProcessId>()
    private var areWritesSlow = false
    private var nowMillis = START_MILLIS
    private var hasFaults = true

    val settlers = mutableMapOf<JobId, MutableSet<ProcessId>>()

    init {
        repeat(ENTRY_COUNT) { start(it) }
    }

    fun run(steps: Int) = repeat(steps) { step() }

    /**
     * Ends all faults and runs [steps] more, enough for delayed events to happen and for rosters with the longest
     * [Roster.holdMillis] to take effect.
     */
    fun heal(steps: Int) {
        hasFaults = false
        store.isUp = true
        areWritesSlow = false
        cutOffFromStore.clear()
        entries.filter { it.isLeaving }.forEach { it.isAlive = false }
        if (entries.none { it.isAlive }) start(0)
        run(steps)
    }

    /** Entries that may settle a job created now. */
    fun homesOfNewJob(): List<ProcessId> {
        val id = JobId("last")
        return entries
            .filter { it.isAlive }
            .filter { it.stateMachine.view.homeOf(id, nowMillis, it.clockMillis(nowMillis)) == JobHome.Local }
            .map { it.member.entry }
    }

    private fun step() {
        nowMillis += STEP_MILLIS
        if (hasFaults && random.nextInt(FAULT_INTERVAL_STEPS) == 0) injectFault()
        offerIds()
        val due = events.filter { it.first <= nowMillis }
        events.removeAll(due)
        due.shuffled(random).forEach { it.second() }
        entries.filter { it.isAlive }.forEach { probePeers(it) }
        entries.filter { it.isAlive }.forEach { deliver(it, RosterInput.Tick) }
        ids += JobId("job-$nowMillis") to nowMillis + random.nextLong(-CLIENT_SPREAD_MILLIS, CLIENT_SPREAD_MILLIS)
        offerIds()
    }

    private fun offerIds() {
        for ((id, createdAtMillis) in ids.takeLast(OFFERED_ID_COUNT)) {
            val entry = entries.filter { it.isAlive }.randomOrNull(random) ?: return
            if (entry.settle(id, createdAtMillis, nowMillis)) {
                settlers.getOrPut(id) { mutableSetOf() } +=
                    entry.member.entry
            }
        }
    }

    private fun injectFault() {
        val entry = entries.filter { it.isAlive }.randomOrNull(random)
        when (random.nextInt(FAULT_KINDS)) {
            0 -> store.isUp = !store.isUp
            1 -> entry?.isAlive = false
            2, 3 -> if (entries.count { it.isAlive } < ENTRY_COUNT) start(random.nextInt(ENTRY_COUNT))
            4 -> entry?.pausedUntilMillis = nowMillis + random.nextLong(LONGEST_PAUSE_MILLIS)
            5 -> entry?.let(::leave)
            6 -> partition()
            7 -> cutOffFromStore.clear()
            else -> areWritesSlow = !areWritesSlow
        }
    }

    /** Partitions the network in two at random; only one side reaches the store. */
    private fun partition() {
        cutOffFromStore.clear()
        cutOffFromStore += entries.map { it.member.entry }.filter { random.nextBoolean() }
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
        deliver(entry, RosterInput.Leave(heir.member))
        val claims = entry.settled.toSet()
        val owned = entry.inherited + entry.member.entry
        send(entry, heir.member.entry) {
            if (!heir.isLeaving) {
                heir.settled += claims
                heir.inherited += owned
                deliver(heir, RosterInput.ClaimsInherited(owned, Handover(entry.member.entry, heir.member)))
            }
        }
    }

    private fun probePeers(entry: SimulatedEntry) {
        val members =
            entry.stateMachine.view.history
                ?.newest
                ?.members
                .orEmpty()
        for (member in members.filter { it.entry != entry.member.entry }) {
            val peer = entries.first { it.member.entry == member.entry }
            val isReachable = peer.isAlive && !isPaused(peer) && !isPartitioned(entry.member.entry, member.entry)
            val input =
                if (isReachable) {
                    RosterInput.PeerReachable(
                        member.entry,
                    )
                } else {
                    RosterInput.PeerUnreachable(member.entry, false)
                }
            deliver(entry, input)
        }
    }

    private fun deliver(
        entry: SimulatedEntry,
        input: RosterInput,
    ) {
        if (!entry.isAlive) return
        if (isPaused(entry)) {
            if (input != RosterInput.Tick) runIn(STEP_MILLIS) { deliver(entry, input) }
            return
        }
        entry.stateMachine.accept(input, entry.clockMillis(nowMillis)).forEach { execute(entry, it) }
    }

    private fun execute(
        entry: SimulatedEntry,
        output: RosterOutput,
    ) {
        when (output) {
            is RosterOutput.ReadStore -> read(entry)
            is RosterOutput.Publish -> publish(entry, output)
            is RosterOutput.RequestPromises ->
                output.members.forEach { send(entry, it.entry, RosterInput.PromiseRequested(output.question)) }
            is RosterOutput.SendPromise ->
                send(entry, output.question.asker, RosterInput.PromiseReceived(entry.member.entry, output.question))
            is RosterOutput.BroadcastHistory ->
                entries.forEach { send(entry, it.member.entry, RosterInput.HistoryReceived(output.history)) }
            is RosterOutput.RequestJoin -> send(entry, output.member.entry, RosterInput.JoinRequested(entry.member))
        }
    }

    private fun read(entry: SimulatedEntry) {
        val startedAtMillis = entry.clockMillis(nowMillis)
        runIn(delayMillis()) {
            val result = if (reachesStore(entry)) store.read(startedAtMillis) else RosterInput.StoreUnavailable
            runIn(delayMillis()) { deliver(entry, result) }
        }
    }

    private fun publish(
        entry: SimulatedEntry,
        publication: RosterOutput.Publish,
    ) {
        if (!reachesStore(entry)) return runIn(PUBLISH_TIMEOUT_MILLIS) { deliver(entry, RosterInput.PublicationEnded) }
        runIn(if (areWritesSlow) random.nextLong(SLOW_WRITE_MIN_MILLIS, SLOW_WRITE_MAX_MILLIS) else delayMillis()) {
            store.execute(publication)
            if (hasFaults && random.nextInt(PARTITION_AFTER_WRITE_ONE_IN) == 0) partition()
        }
        runIn(PUBLISH_TIMEOUT_MILLIS) { deliver(entry, RosterInput.PublicationEnded) }
    }

    private fun send(
        from: SimulatedEntry,
        to: ProcessId,
        input: RosterInput,
    ) {
        val receiver = entries.first { it.member.entry == to }
        send(from, to) { deliver(receiver, input) }
    }

    private fun send(
        from: SimulatedEntry,
        to: ProcessId,
        delivery: () -> Unit,
    ) {
        val isLost = hasFaults && random.nextInt(MESSAGE_LOSS_ONE_IN) == 0
        if (!isLost && !isPartitioned(from.member.entry, to)) runIn(delayMillis(), delivery)
    }

    private fun runIn(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        events += nowMillis + delayMillis to action
    }

    private fun delayMillis(): Long = random.nextLong(if (hasFaults) LONGEST_DELAY_MILLIS else STEP_MILLIS)

    private fun isPaused(entry: SimulatedEntry): Boolean = entry.pausedUntilMillis > nowMillis

    private fun isPartitioned(
        first: ProcessId,
        second: ProcessId,
    ): Boolean = (first in cutOffFromStore) != (second in cutOffFromStore)

    private fun reachesStore(entry: SimulatedEntry): Boolean = entry.member.entry !in cutOffFromStore

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
        private const val ENTRY_COUNT = 4
        private const val FIRST_PORT = 7_000
        private const val FAULT_KINDS = 9
        private const val FAULT_INTERVAL_STEPS = 15
        private const val OFFERED_ID_COUNT = 80
        private const val CLIENT_SPREAD_MILLIS = 3_000L
        private const val LONGEST_PAUSE_MILLIS = 8_000L
        private const val LONGEST_DELAY_MILLIS = 400L
        private const val PARTITION_AFTER_WRITE_ONE_IN = 2
        private const val SLOW_WRITE_MIN_MILLIS = 3_000L
        private const val SLOW_WRITE_MAX_MILLIS = 10_000L
        private const val MESSAGE_LOSS_ONE_IN = 10
        private const val PUBLISH_TIMEOUT_MILLIS = 300L
    }
}
