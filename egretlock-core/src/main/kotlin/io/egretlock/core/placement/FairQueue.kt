package io.egretlock.core.placement

import java.util.TreeSet

/**
 * Weighted fair order among teams (start-time fair queueing), and order of arrival within a team.
 *
 * Each team has a virtual start time that grows by the expected work of each task that it starts, divided by its
 * weight; the team with the smallest one is served next. A team without waiting tasks or at its concurrency quota is
 * not in the order; when it returns, its virtual start time is at least the current virtual time. Each start takes time
 * logarithmic in the number of teams.
 */
internal class FairQueue : TaskQueue {
    private val backlogs = HashMap<TeamAccount, TeamBacklog>()
    private val order = TreeSet(compareBy<TeamBacklog> { it.virtualStart }.thenBy { it.account.team.value })
    private var virtualTime = 0.0
    private var waitingWeight = 0.0

    override var waiting = 0
        private set

    override var startable = 0
        private set

    override var workMillis = 0.0
        private set

    override fun waitingOf(account: TeamAccount): Int = backlogs[account]?.waiting ?: 0

    override fun workMillisOf(account: TeamAccount): Double = backlogs[account]?.workMillis ?: 0.0

    override fun addLast(
        batch: TaskBatch,
        account: TeamAccount,
    ) {
        val backlog = backlogOf(account)
        backlog.batches.addLast(batch)
        addTasks(backlog, batch.remaining, batch.workMillis)
    }

    override fun addFirst(
        batch: TaskBatch,
        account: TeamAccount,
    ) {
        val backlog = backlogOf(account)
        backlog.batches.addFirst(batch)
        addTasks(backlog, batch.remaining, batch.workMillis)
    }

    override fun peek(): TaskBatch? {
        val backlog = order.firstOrNull() ?: return null
        while (backlog.batches.first().remaining == 0) backlog.batches.removeFirst()
        return backlog.batches.first()
    }

    override fun removeStarted(
        batch: TaskBatch,
        account: TeamAccount,
    ) {
        val backlog = backlogOf(account)
        order.remove(backlog)
        virtualTime = maxOf(virtualTime, backlog.virtualStart)
        backlog.virtualStart += batch.workMillis / account.weight
        addTasks(backlog, -1, batch.workMillis)
    }

    override fun removeReclassified(
        batch: TaskBatch,
        account: TeamAccount,
    ) = addTasks(backlogOf(account), -1, batch.workMillis)

    override fun drop(
        batch: TaskBatch,
        account: TeamAccount,
    ) {
        val tasks = batch.remaining
        batch.drop()
        addTasks(backlogOf(account), -tasks, batch.workMillis)
    }

    override fun updateAccount(account: TeamAccount) {
        backlogs[account]?.let { backlog -> addTasks(backlog, 0, 0.0) }
    }

    override fun workAheadMillis(
        account: TeamAccount,
        addedMillis: Double,
    ): Double {
        val backlog = backlogs[account]
        val ownMillis = (backlog?.workMillis ?: 0.0) + addedMillis
        val countedWeight = backlog?.countedWeight ?: 0.0
        val allWeight = waitingWeight - countedWeight + account.weight
        return minOf(workMillis + addedMillis, ownMillis * allWeight / account.weight)
    }

    private fun backlogOf(account: TeamAccount): TeamBacklog = backlogs.getOrPut(account) { TeamBacklog(account) }

    /** Adds [tasks], which may be negative, to the waiting tasks, and updates the position of the team in the order. */
    private fun addTasks(
        backlog: TeamBacklog,
        tasks: Int,
        workPerTask: Double,
    ) {
        waiting += tasks
        workMillis = if (waiting == 0) 0.0 else workMillis + tasks * workPerTask
        backlog.waiting += tasks
        backlog.workMillis = if (backlog.waiting == 0) 0.0 else backlog.workMillis + tasks * workPerTask
        if (backlog.waiting == 0) backlog.batches.clear()
        updateTotals(backlog)
        updatePosition(backlog)
    }

    private fun updateTotals(backlog: TeamBacklog) {
        val mayStart = minOf(backlog.waiting, backlog.account.remainingConcurrency)
        startable += mayStart - backlog.countedStartable
        backlog.countedStartable = mayStart
        val weight = if (backlog.waiting > 0) backlog.account.weight else 0.0
        waitingWeight += weight - backlog.countedWeight
        backlog.countedWeight = weight
    }

    private fun updatePosition(backlog: TeamBacklog) {
        val isInOrder = backlog in order
        val belongsInOrder = backlog.countedStartable > 0
        if (isInOrder && !belongsInOrder) order.remove(backlog)
        if (!isInOrder && belongsInOrder) {
            backlog.virtualStart = maxOf(backlog.virtualStart, virtualTime)
            order.add(backlog)
        }
    }

    private class TeamBacklog(
        val account: TeamAccount,
    ) {
        val batches = ArrayDeque<TaskBatch>()
        var waiting = 0
        var workMillis = 0.0
        var virtualStart = 0.0
        var countedStartable = 0
        var countedWeight = 0.0
    }
}
