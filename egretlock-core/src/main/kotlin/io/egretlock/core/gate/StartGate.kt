package io.egretlock.core.gate

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.Verdict

/**
 * Limits on the records and answers that a [StartGate] retains.
 *
 * @property retentionMillis time for which an ended or revoked task, and an unacknowledged answer, is retained.
 * @property maxRecords maximum number of task records. While it is reached, new tasks are refused.
 * @property maxKeptCharacters maximum total length of the unacknowledged answers in characters. While it is reached,
 * new tasks are refused.
 */
data class GateLimits(
    val retentionMillis: Long = 900_000,
    val maxRecords: Int = 200_000,
    val maxKeptCharacters: Long = 16_000_000,
)

/** Decision of a [StartGate] on a request to start a task. */
enum class StartDecision {
    /** The start is recorded, and the caller has to send the task to the upstream. */
    ADMITTED,

    /** The attempt has not started and will never start. */
    REFUSED,

    /** The task was started before; the request is ignored without a reply. */
    DUPLICATE,
}

/**
 * Ensures that each task starts at most once at an agent, and keeps its answer until the owning entry acknowledges it.
 *
 * A start is recorded before the upstream is called. Attempts that were revoked, refused or reported as never seen are
 * excluded from starting for the retention period. Not safe for concurrent use: confined to the coroutine that owns the
 * agent's state.
 */
class StartGate(
    private val limits: GateLimits = GateLimits(),
) {
    private val records = HashMap<TaskId, TaskRecord>()
    private val runningTasks = LinkedHashSet<TaskId>()
    private val answers = LinkedHashMap<TaskId, OwnedAnswer>()
    private var keptCharacters = 0L
    private val expiries = ArrayDeque<Expiry>()
    private val latestIncarnations = HashMap<String, Long>()

    /** Tasks that were sent to the upstream and have not ended. */
    val running: Set<TaskId>
        get() = runningTasks

    /** Unacknowledged answers, oldest first. */
    val unacknowledged: List<OwnedAnswer>
        get() = answers.values.toList()

    /** Number of task records. */
    val size: Int
        get() = records.size

    /** Whether [task] was sent to the upstream and has not ended. */
    fun isRunning(task: TaskId): Boolean = task in runningTasks

    /** Decides whether [attempt] may start, and if so records it as started for [owner]. */
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
            record == null && records.size >= limits.maxRecords -> StartDecision.REFUSED
            keptCharacters >= limits.maxKeptCharacters -> StartDecision.REFUSED
            else -> admit(owner, attempt)
        }
    }

    /**
     * Excludes [attempt] from starting. Returns true if this or an earlier attempt of the task has started, so that it
     * can no longer be excluded.
     */
    fun revoke(
        attempt: TaskAttempt,
        nowMillis: Long,
    ): Boolean {
        val record = records[attempt.task]
        if (record.hasStarted()) return attempt.attempt >= checkNotNull(record).attempt
        if (record == null || record.attempt < attempt.attempt) exclude(attempt, nowMillis)
        return false
    }

    /** Replaces the recorded start of [task] by a revocation: the upstream has provably not received the task. */
    fun markNotStarted(
        task: TaskId,
        nowMillis: Long,
    ) {
        val record = records[task] as? TaskRecord.Running ?: return
        exclude(TaskAttempt(task, record.attempt), nowMillis)
    }

    /**
     * Records the outcome of a running task. Returns null if the task is not running, or if a later incarnation of its
     * owner has started and nothing can acknowledge the answer.
     */
    fun finish(
        task: TaskId,
        outcome: TaskOutcome,
        runMillis: Long,
        nowMillis: Long,
    ): OwnedAnswer? {
        val record = records[task] as? TaskRecord.Running ?: return null
        val answer = OwnedAnswer(TaskAttempt(task, record.attempt), record.owner, outcome, runMillis)
        if (isSuperseded(record.owner)) {
            dropAnswer(task, record, nowMillis)
            return null
        }
        putExpiring(task, TaskRecord.Finished(record.attempt, answer, nowMillis))
        return answer
    }

    /** Drops the answers of those [tasks] that [owner] owns. */
    fun acknowledge(
        owner: ProcessId,
        tasks: List<TaskId>,
        nowMillis: Long,
    ) {
        tasks.forEach { task ->
            val record = records[task]
            if (record is TaskRecord.Finished && record.answer.owner == owner) dropAnswer(task, record, nowMillis)
        }
    }

    /**
     * Returns the states of [attempts] and makes [owner] the owner of their answers. An attempt reported as
     * [AttemptState.NEVER_SEEN] is excluded from starting.
     */
    fun reconcile(
        owner: ProcessId,
        attempts: List<TaskAttempt>,
        nowMillis: Long,
    ): List<AttemptStatus> = attempts.map { AttemptStatus(it, stateOf(owner, it, nowMillis)) }

    /** Returns the answers of [attempts]. An answer that was dropped is replaced by a [Reason.RETENTION] verdict. */
    fun answers(
        owner: ProcessId,
        attempts: List<TaskAttempt>,
    ): List<OwnedAnswer> =
        attempts.mapNotNull { attempt ->
            when (val record = records[attempt.task]) {
                is TaskRecord.Finished -> record.answer
                is TaskRecord.AnswerDropped -> OwnedAnswer(attempt, owner, ANSWER_DROPPED, 0)
                else -> null
            }
        }

    /**
     * Records that [owner] supersedes the earlier incarnations of its process. Drops the answers that they own, which
     * can no longer be acknowledged, and returns the running tasks that they own.
     */
    fun supersedeEarlierIncarnations(
        owner: ProcessId,
        nowMillis: Long,
    ): List<TaskId> {
        latestIncarnations.merge(owner.name, owner.incarnation, ::maxOf)
        val stale = answers.filterValues { isSuperseded(it.owner) }.keys
        stale.forEach { task -> dropAnswer(task, records.getValue(task), nowMillis) }
        return runningTasks.filter { task -> isSuperseded((records.getValue(task) as TaskRecord.Running).owner) }
    }

    /** Removes records, and drops unacknowledged answers, whose retention period has passed. */
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
        if (record is TaskRecord.Finished) dropAnswer(task, record, nowMillis) else records.remove(task)
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

            is TaskRecord.AnswerDropped -> AttemptState.FINISHED

            is TaskRecord.Revoked -> AttemptState.REVOKED
        }

    private fun exclude(
        attempt: TaskAttempt,
        nowMillis: Long,
    ) = putExpiring(attempt.task, TaskRecord.Revoked(attempt.attempt, nowMillis))

    private fun dropAnswer(
        task: TaskId,
        record: TaskRecord,
        nowMillis: Long,
    ) = putExpiring(task, TaskRecord.AnswerDropped(record.attempt, nowMillis))

    private fun putExpiring(
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

    private fun lengthOf(answer: OwnedAnswer?): Int = (answer?.outcome as? TaskOutcome.Succeeded)?.answer?.length ?: 0

    private fun TaskRecord?.hasStarted(): Boolean = this != null && this !is TaskRecord.Revoked

    private fun isSuperseded(owner: ProcessId): Boolean = owner.incarnation < (latestIncarnations[owner.name] ?: 0)

    private data class Expiry(
        val task: TaskId,
        val endedAtMillis: Long,
        val atMillis: Long,
    )

    private companion object {
        val ANSWER_DROPPED =
            TaskOutcome.Ended(Verdict.MayHaveRun(Reason.RETENTION, "The agent no longer keeps the task's answer."))
    }
}
