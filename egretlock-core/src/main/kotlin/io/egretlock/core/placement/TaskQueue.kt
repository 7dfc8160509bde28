package io.egretlock.core.placement

/** Order in which the waiting tasks of one class start. */
internal interface TaskQueue {
    /** Waiting tasks. */
    val waiting: Int

    /** Waiting tasks that the quotas of their teams would let start now. */
    val startable: Int

    /** Expected work of all waiting tasks, in milliseconds on an agent of slowness 1. */
    val workMillis: Double

    /** Waiting tasks of one team. */
    fun waitingOf(account: TeamAccount): Int

    /** Expected work of one team's waiting tasks. */
    fun workMillisOf(account: TeamAccount): Double

    /** Adds tasks at the end of their team's queue. */
    fun addLast(
        part: QueuedPart,
        account: TeamAccount,
    )

    /** Adds tasks at the head of their team's queue. */
    fun addFirst(
        part: QueuedPart,
        account: TeamAccount,
    )

    /** The part whose next task starts next; null if none may start. The caller takes the task from it. */
    fun next(): QueuedPart?

    /** Removes the task that [next] announced, after the caller has counted it as running in its account. */
    fun taken(
        part: QueuedPart,
        account: TeamAccount,
    )

    /** Removes the task that [next] announced without starting it, after the caller has taken it from [part]. */
    fun moved(
        part: QueuedPart,
        account: TeamAccount,
    )

    /** Removes all remaining tasks of [part] in constant time. */
    fun drop(
        part: QueuedPart,
        account: TeamAccount,
    )

    /** Applies a change of the account's limits or use. */
    fun accountChanged(account: TeamAccount)

    /** Work that is expected to start before the last of [addedMillis] more work of the same team. */
    fun workAheadMillis(
        account: TeamAccount,
        addedMillis: Double,
    ): Double
}
