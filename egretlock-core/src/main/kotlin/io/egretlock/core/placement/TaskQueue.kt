package io.egretlock.core.placement

/** Queue of the waiting tasks of one class. */
internal interface TaskQueue {
    /** Number of waiting tasks. */
    val waiting: Int

    /** Number of waiting tasks that the quotas of their teams allow to start now. */
    val startable: Int

    /** Expected work of all waiting tasks, in milliseconds on an agent of slowness 1. */
    val workMillis: Double

    /** Returns the number of waiting tasks of one team. */
    fun waitingOf(account: TeamAccount): Int

    /** Returns the expected work of one team's waiting tasks, in milliseconds on an agent of slowness 1. */
    fun workMillisOf(account: TeamAccount): Double

    /** Adds a batch at the end of its team's queue. */
    fun addLast(
        batch: TaskBatch,
        account: TeamAccount,
    )

    /** Adds a batch at the head of its team's queue. */
    fun addFirst(
        batch: TaskBatch,
        account: TeamAccount,
    )

    /**
     * Returns the batch with the next task to start, without removing it; null if none may start. The caller takes the
     * task from it.
     */
    fun peek(): TaskBatch?

    /**
     * Removes a started task of the batch that [peek] returned, after the caller has taken it from [batch] and
     * counted it as running in [account].
     */
    fun removeStarted(
        batch: TaskBatch,
        account: TeamAccount,
    )

    /** Removes a task that moves to the queue of another class, after the caller has taken it from [batch]. */
    fun removeReclassified(
        batch: TaskBatch,
        account: TeamAccount,
    )

    /** Removes all remaining tasks of [batch] in constant time. */
    fun drop(
        batch: TaskBatch,
        account: TeamAccount,
    )

    /** Applies a change of the limits or the running tasks of [account]. */
    fun updateAccount(account: TeamAccount)

    /**
     * Returns the work that is expected to start until the last of [addedMillis] of additional work of the same team
     * starts, including that work.
     */
    fun workAheadMillis(
        account: TeamAccount,
        addedMillis: Double,
    ): Double
}
