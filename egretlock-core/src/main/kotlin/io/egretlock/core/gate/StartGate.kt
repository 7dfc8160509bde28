package io.egretlock.core.gate

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.Verdict

/**
 * Bounds on what a [StartGate] remembers.
 *
 * @property retentionMillis time for which an ended or revoked task is remembered, and an answer waits for its entry.
 * @property largestRecords tasks remembered at once; while there are as many, new tasks are refused.
 * @property largestKeptCharacters length of all answers that wait for their entries; beyond it, new tasks are refused.
 */
data class GateLimits(
    val retentionMillis: Long = 900_000,
    val largestRecords: Int = 200_000,
    val largestKeptCharacters: Long = 16_000_000,
)

/** What a [StartGate] says to a request to start a task. */
enum class StartDecision {
    /** Recorded as started: the caller hands the task to the upstream now. */
    ADMITTED,

    /** The attempt has not started and never will. */
    REFUSED,

    /** The task was started before; nothing is to be done or said. */
    DUPLICATE,
}

/**
 * Lets each task of an agent start at most once, and keeps its answer until the entry that owns it acknowledges it.
 *
 * A start is recorded before the upstream is called. Attempts that were revoked, refused or reported as never seen stay
 * excluded for the retention period. Not safe for concurrent use: it is confined to the task that owns the agent's
 * state.
 */
class StartGate(
    private val limits: GateLimits = GateLimits(),
) {
    private val records = HashMap<TaskId, TaskRecord>()
    private val runningTasks = LinkedHashSet<TaskId>()
    private val answers = LinkedHashMap<TaskId, KeptAnswer>()
    private var keptCharacters = 0L
    private val expiries = ArrayDeque<Expiry>()
    private val latestIncarnations = HashMap<String, Long>()

    /** Tasks handed to the upstream that have not ended. */
    val running: Set<TaskId>
        get() = runningTasks

    /** Answers that wait for an acknowledgement, oldest first. */
    val unacknowledged: List<KeptAnswer>
        get() = answers.values.toList()

    /** Tasks remembered. */
    val size: Int
        get() = records.size

    /** Whether [task] was handed to the upstream and has not ended. */
    fun isRunning(task: TaskId): Boolean = task in runningTasks

    /** Records [attempt] for [owner] as started if the task may start now. */
    fun start(
        owner: ProcessId,
        attempt: TaskAttempt,
        nowMillis: Long,
    ): StartDecision {
        expire(nowMillis)
        val record = records[attempt.task]
        return when {
            record.hasStarted() -> StartDecision.DUPLICATE
            record != null && record.attempt >= attempt.attempt -> StartDecision.REFUSED
            record == null && records.size >= limits.largestRecords -> StartDecision.REFUSED
            keptCharacters >= limits.largestKeptCharacters -> StartDecision.REFUSED
            else -> admit(owner, attempt)
        }
    }

    /** Makes sure that [attempt] never starts; true if its task has started already. */
    fun revoke(
        attempt: TaskAttempt,
        nowMillis: Long,
    ): Boolean {
        val record = records[attempt.task]
        if (record.hasStarted()) return attempt.attempt >= checkNotNull(record).attempt
        if (record == null || record.attempt < attempt.attempt) exclude(attempt, nowMillis)
        return false
    }

    /** Turns a recorded start into a revoked one: the upstream has provably not received the task. */
    fun notStarted(
        task: TaskId,
        nowMillis: Long,
    ) {
        val record = records[task] as? TaskRecord.Running ?: return
        exclude(TaskAttempt(task, record.attempt), nowMillis)
    }

    /** Keeps the outcome of a running task; null if the task is not running or nobody waits for its answer. */
    fun finish(
        task: TaskId,
        outcome: TaskOutcome,
        runMillis: Long,
        nowMillis: Long,
    ): KeptAnswer? {
        val record = records[task] as? TaskRecord.Running ?: return null
        val answer = KeptAnswer(TaskAttempt(task, record.attempt), record.owner, outcome, runMillis)
        if (isReplaced(record.owner)) {
            settle(task, record, nowMillis)
            return null
        }
        store(task, TaskRecord.Finished(record.attempt, answer, nowMillis))
        return answer
    }

    /** Drops the answers of [tasks] that are for [owner]. */
    fun acknowledge(
        owner: ProcessId,
        tasks: List<TaskId>,
        nowMillis: Long,
    ) {
        tasks.forEach { task ->
            val record = records[task]
            if (record is TaskRecord.Finished && record.answer.owner == owner) settle(task, record, nowMillis)
        }
    }

    /**
     * Tells what became of [attempts] and makes [owner] the receiver of their answers. An attempt reported as
     * [AttemptState.NEVER_SEEN] is excluded from then on.
     */
    fun reconcile(
        owner: ProcessId,
        attempts: List<TaskAttempt>,
        nowMillis: Long,
    ): List<AttemptStatus> = attempts.map { AttemptStatus(it, stateOf(owner, it, nowMillis)) }

    /** Answers for [owner] among [attempts]; one that is no longer kept is replaced by a verdict that says so. */
    fun answers(
        owner: ProcessId,
        attempts: List<TaskAttempt>,
    ): List<KeptAnswer> =
        attempts.mapNotNull { attempt ->
            when (val record = records[attempt.task]) {
                is TaskRecord.Finished -> record.answer
                is TaskRecord.Settled -> KeptAnswer(attempt, owner, ANSWER_NOT_KEPT, 0)
                else -> null
            }
        }

    /**
     * Learns that [owner] has replaced its earlier incarnations, for which nobody can acknowledge answers any more. Drops
     * those answers and returns the tasks that still run for them.
     */
    fun ownerStarted(
        owner: ProcessId,
        nowMillis: Long,
    ): List<TaskId> {
        latestIncarnations.merge(owner.name, owner.incarnation, ::maxOf)
        val stale = answers.filterValues { isReplaced(it.owner) }.keys
        stale.forEach { task -> settle(task, records.getValue(task), nowMillis) }
        return runningTasks.filter { task -> isReplaced((records.getValue(task) as TaskRecord.Running).owner) }
    }

    /** Forgets what has been remembered for longer than the retention period. */
    fun expire(nowMillis: Long) {
        while (expiries.isNotEmpty() && expiries.first().atMillis <= nowMillis) {
            val expiry = expiries.removeFirst()
            val record = records[expiry.task]
            if (record != null &&
                record.endedAtMillis == expiry.endedAtMillis
            ) {
                expireRecord(expiry.task, record, nowMillis)
            }
        }
    }

    private fun expireRecord(
        task: TaskId,
        record: TaskRecord,
        nowMillis: Long,
    ) {
        if (record is TaskRecord.Finished) settle(task, record, nowMillis) else records.remove(task)
    }

    private fun admit(
        owner: ProcessId,
        attempt: TaskAttempt,
    ): StartDecision {
        put(attempt.task, TaskRecord.Running(attempt.attempt, owner))
        return StartDecision.ADMITTED
    }

    private fun stateOf(
        owner: ProcessId,
        attempt: TaskAttempt,
        nowMillis: Long,
    ): AttemptState {
        val record = records[attempt.task]
        return when {
            record == null || (record is TaskRecord.Revoked && record.attempt < attempt.attempt) -> {
                exclude(attempt, nowMillis)
                AttemptState.NEVER_SEEN
            }

            attempt.attempt < record.attempt -> AttemptState.REVOKED

            else -> startedStateOf(owner, attempt.task, record)
        }
    }

    private fun startedStateOf(
        owner: ProcessId,
        task: TaskId,
        record: TaskRecord,
    ): AttemptState =
        when (record) {
            is TaskRecord.Running -> {
                put(task, record.copy(owner = owner))
                AttemptState.RUNNING
            }

            is TaskRecord.Finished -> {
                put(task, record.copy(answer = record.answer.copy(owner = owner)))
                AttemptState.FINISHED
            }

            is TaskRecord.Settled -> AttemptState.FINISHED

            is TaskRecord.Revoked -> AttemptState.REVOKED
        }

    private fun exclude(
        attempt: TaskAttempt,
        nowMillis: Long,
    ) = store(attempt.task, TaskRecord.Revoked(attempt.attempt, nowMillis))

    private fun settle(
        task: TaskId,
        record: TaskRecord,
        nowMillis: Long,
    ) = store(task, TaskRecord.Settled(record.attempt, nowMillis))

    private fun store(
        task: TaskId,
        record: TaskRecord,
    ) {
        val endedAtMillis = checkNotNull(record.endedAtMillis)
        put(task, record)
        expiries.addLast(Expiry(task, endedAtMillis, endedAtMillis + limits.retentionMillis))
    }

    private fun put(
        task: TaskId,
        record: TaskRecord,
    ) {
        records[task] = record
        if (record is TaskRecord.Running) runningTasks += task else runningTasks -= task
        val replaced = if (record is TaskRecord.Finished) answers.put(task, record.answer) else answers.remove(task)
        keptCharacters += lengthOf(answers[task]) - lengthOf(replaced)
    }

    private fun lengthOf(answer: KeptAnswer?): Int = (answer?.outcome as? TaskOutcome.Succeeded)?.answer?.length ?: 0

    private fun TaskRecord?.hasStarted(): Boolean = this != null && this !is TaskRecord.Revoked

    private fun isReplaced(owner: ProcessId): Boolean = owner.incarnation < (latestIncarnations[owner.name] ?: 0)

    private data class Expiry(
        val task: TaskId,
        val endedAtMillis: Long,
        val atMillis: Long,
    )

    private companion object {
        val ANSWER_NOT_KEPT =
            TaskOutcome.Ended(Verdict.MayHaveRun(Reason.RETENTION, "The agent no longer keeps the task's answer."))
    }
}
