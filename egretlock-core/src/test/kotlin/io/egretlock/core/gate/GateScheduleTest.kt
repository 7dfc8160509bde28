package io.egretlock.core.gate

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random

/** Runs [StartGate] and [SlotLedger] on random schedules of disconnections, delayed messages and repeated starts. */
class GateScheduleTest {
    @Property(tries = 300, seed = "4711")
    fun `given any schedule, when entries start tasks, then none starts twice and no slot is granted twice`(
        @ForAll seed: Long,
    ) {
        val schedule = Schedule(Random(seed))
        repeat(400) { schedule.step() }
        schedule.finishAll()
    }

    private class Schedule(
        private val random: Random,
    ) {
        private val slots = random.nextInt(1, 6)
        private val entries = List(random.nextInt(1, 8)) { Entry(ProcessId("entry-$it", 1)) }
        private val gate = StartGate()
        private val ledger = SlotLedger()
        private val started = HashMap<TaskId, Int>()
        private val excluded = HashMap<TaskId, Int>()
        private val runningFor = HashMap<TaskId, Entry>()
        private var now = 0L

        init {
            entries.forEach { connect(it) }
            send(ledger.resize(slots))
        }

        fun step() {
            now++
            val entry = entries.random(random)
            when (random.nextInt(STEPS)) {
                0 -> reconnect(entry)
                1 -> entry.toAgent.addLast { send(ledger.recordRequest(entry.id, random.nextInt(0, 4))) }
                2 -> revoke(randomAttempt())
                3 -> reconcile(entry, List(3) { randomAttempt() })
                4, 5, 6 -> finishOne()
                7, 8, 9 -> entry.fromAgent.removeFirstOrNull()?.invoke()
                10 -> if (ledger.grantedTo(entry.id) == 0) start(entry, randomAttempt())
                else -> entry.toAgent.removeFirstOrNull()?.invoke()
            }
            entry.startAll()
            check()
        }

        /** Ends all tasks, delivers all messages and checks that the only requesting entry is granted every slot. */
        fun finishAll() {
            while (runningFor.isNotEmpty()) finishOne()
            drainMessages()
            val requesting = entries.first()
            entries.forEach { send(ledger.recordRequest(it.id, if (it === requesting) slots else 0)) }
            drainMessages()
            assertEquals(slots, requesting.credits)
        }

        private fun drainMessages() {
            while (entries.any { it.toAgent.isNotEmpty() || it.fromAgent.isNotEmpty() } || runningFor.isNotEmpty()) {
                entries.forEach { entry ->
                    entry.fromAgent.removeFirstOrNull()?.invoke()
                    entry.toAgent.removeFirstOrNull()?.invoke()
                }
                if (runningFor.isNotEmpty()) finishOne()
            }
        }

        private fun check() {
            assertTrue(ledger.running + ledger.granted <= slots)
            assertEquals(runningFor.size, ledger.running)
            started.forEach { (task, count) -> assertEquals(1, count, "starts of $task") }
        }

        private fun connect(entry: Entry) = send(ledger.addEntry(entry.id))

        private fun reconnect(entry: Entry) {
            send(ledger.removeEntry(entry.id))
            entry.reset()
            connect(entry)
        }

        private fun start(
            entry: Entry,
            attempt: TaskAttempt,
        ) {
            val spent = ledger.spendCredit(entry.id)
            val result = if (spent) gate.start(entry.id, attempt, now) else null
            if (!spent && !gate.revoke(attempt, now)) exclude(attempt)
            if (result == StartDecision.REFUSED) exclude(attempt)
            if (result == StartDecision.ADMITTED) admit(entry, attempt)
            if (spent && result != StartDecision.ADMITTED) send(ledger.releaseSlot(entry.id, reusable = false).actions)
        }

        private fun admit(
            entry: Entry,
            attempt: TaskAttempt,
        ) {
            assertTrue(attempt.attempt > (excluded[attempt.task] ?: 0), "$attempt was excluded")
            started.merge(attempt.task, 1, Int::plus)
            runningFor[attempt.task] = entry
        }

        private fun revoke(attempt: TaskAttempt) {
            if (!gate.revoke(attempt, now)) exclude(attempt)
        }

        private fun reconcile(
            entry: Entry,
            attempts: List<TaskAttempt>,
        ) = gate.reconcile(entry.id, attempts, now).forEach { status ->
            val wasStarted = status.attempt.task in started
            when (status.state) {
                AttemptState.RUNNING, AttemptState.FINISHED -> assertTrue(wasStarted)
                AttemptState.NEVER_SEEN, AttemptState.REVOKED -> exclude(status.attempt)
            }
        }

        private fun exclude(attempt: TaskAttempt) {
            excluded.merge(attempt.task, attempt.attempt, ::maxOf)
        }

        private fun finishOne() {
            val task = runningFor.keys.randomOrNull(random) ?: return
            val entry = runningFor.remove(task) ?: return
            gate.finish(task, TaskOutcome.Succeeded("1"), 1, now)
            val slot = ledger.releaseSlot(entry.id)
            if (slot.isRegranted) entry.fromAgent.addLast { entry.credits++ }
            send(slot.actions)
        }

        private fun send(actions: List<CreditAction>) =
            actions.forEach { action ->
                val entry = entries.first { it.id == action.entry }
                when (action) {
                    is CreditAction.Grant -> entry.fromAgent.addLast { entry.credits += action.count }
                    is CreditAction.Recall -> entry.fromAgent.addLast { giveBack(entry, action.count) }
                }
            }

        private fun giveBack(
            entry: Entry,
            asked: Int,
        ) {
            val count = minOf(asked, entry.credits)
            entry.credits -= count
            entry.toAgent.addLast { send(ledger.recordReturn(entry.id, count)) }
        }

        private fun Entry.startAll() {
            while (credits > 0 && random.nextInt(3) == 0) {
                credits--
                val attempt = randomAttempt()
                toAgent.addLast { start(this, attempt) }
            }
        }

        private fun randomAttempt() = TaskAttempt(TaskId(JobId("job"), random.nextInt(60)), random.nextInt(1, 4))

        private class Entry(
            val id: ProcessId,
        ) {
            val toAgent = ArrayDeque<() -> Unit>()
            val fromAgent = ArrayDeque<() -> Unit>()
            var credits = 0

            fun reset() {
                toAgent.clear()
                fromAgent.clear()
                credits = 0
            }
        }

        private companion object {
            const val STEPS = 15
        }
    }
}
