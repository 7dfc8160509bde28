package io.egretlock.core.placement

/** Order of arrival of the jobs, regardless of teams; the baseline with which [FairQueue] is compared. */
internal class FirstInFirstOutQueue : TaskQueue {
    private val batches = ArrayDeque<TaskBatch>()
    private val waitingByTeam = HashMap<TeamAccount, Int>()

    override var waiting = 0
        private set

    override val startable: Int
        get() = waiting

    override var workMillis = 0.0
        private set

    override fun waitingOf(account: TeamAccount): Int = waitingByTeam[account] ?: 0

    override fun workMillisOf(account: TeamAccount): Double =
        if (waiting == 0) 0.0 else workMillis * waitingOf(account) / waiting

    override fun addLast(
        batch: TaskBatch,
        account: TeamAccount,
    ) {
        batches.addLast(batch)
        addTasks(batch, account, batch.remaining)
    }

    override fun addFirst(
        batch: TaskBatch,
        account: TeamAccount,
    ) {
        batches.addFirst(batch)
        addTasks(batch, account, batch.remaining)
    }

    override fun peek(): TaskBatch? {
        while (batches.isNotEmpty() && batches.first().remaining == 0) batches.removeFirst()
        return batches.firstOrNull()
    }

    override fun removeStarted(
        batch: TaskBatch,
        account: TeamAccount,
    ) = addTasks(batch, account, -1)

    override fun removeReclassified(
        batch: TaskBatch,
        account: TeamAccount,
    ) = addTasks(batch, account, -1)

    override fun drop(
        batch: TaskBatch,
        account: TeamAccount,
    ) {
        addTasks(batch, account, -batch.remaining)
        batch.drop()
    }

    override fun updateAccount(account: TeamAccount) = Unit

    override fun workAheadMillis(
        account: TeamAccount,
        addedMillis: Double,
    ): Double = workMillis + addedMillis

    private fun addTasks(
        batch: TaskBatch,
        account: TeamAccount,
        tasks: Int,
    ) {
        waiting += tasks
        waitingByTeam.merge(account, tasks, Int::plus)
        workMillis = if (waiting == 0) 0.0 else workMillis + tasks * batch.workMillis
    }
}
