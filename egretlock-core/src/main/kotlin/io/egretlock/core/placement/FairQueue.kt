package io.egretlock.core.placement

import java.util.TreeSet

/**
 * Weighted fair order over teams by start-time fair queueing, first in, first out within a team.
 *
 * Each team has a virtual start time that grows by the expected work of each task it starts, divided by its weight;
 * the team with the smallest one is served next. A team without waiting tasks or at its concurrency quota is not in
 * the order; it comes back no earlier than the current virtual time. Each start costs logarithmic time in the teams.
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
        part: QueuedPart,
        account: TeamAccount,
    ) {
        val backlog = backlogOf(account)
        backlog.parts.addLast(part)
        count(backlog, part.remaining, part.workMillis)
    }

    override fun addFirst(
        part: QueuedPart,
        account: TeamAccount,
    ) {
        val backlog = backlogOf(account)
        backlog.parts.addFirst(part)
        count(backlog, part.remaining, part.workMillis)
    }

    override fun next(): QueuedPart? {
        val backlog = order.firstOrNull() ?: return null
        while (backlog.parts.first().remaining == 0) backlog.parts.removeFirst()
        return backlog.parts.first()
    }

    override fun taken(
        part: QueuedPart,
        account: TeamAccount,
    ) {
        val backlog = backlogOf(account)
        order.remove(backlog)
        virtualTime = maxOf(virtualTime, backlog.virtualStart)
        backlog.virtualStart += part.workMillis / account.weight
        count(backlog, -1, part.workMillis)
    }

    override fun moved(
        part: QueuedPart,
        account: TeamAccount,
    ) = count(backlogOf(account), -1, part.workMillis)

    override fun drop(
        part: QueuedPart,
        account: TeamAccount,
    ) {
        val tasks = part.remaining
        part.drop()
        count(backlogOf(account), -tasks, part.workMillis)
    }

    override fun accountChanged(account: TeamAccount) {
        backlogs[account]?.let { backlog -> count(backlog, 0, 0.0) }
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

    /** Counts [tasks] more or fewer waiting tasks and puts the team where it now belongs in the order. */
    private fun count(
        backlog: TeamBacklog,
        tasks: Int,
        workPerTask: Double,
    ) {
        waiting += tasks
        workMillis = if (waiting == 0) 0.0 else workMillis + tasks * workPerTask
        backlog.waiting += tasks
        backlog.workMillis = if (backlog.waiting == 0) 0.0 else backlog.workMillis + tasks * workPerTask
        if (backlog.waiting == 0) backlog.parts.clear()
        recount(backlog)
        place(backlog)
    }

    private fun recount(backlog: TeamBacklog) {
        val mayStart = minOf(backlog.waiting, backlog.account.room)
        startable += mayStart - backlog.countedStartable
        backlog.countedStartable = mayStart
        val weight = if (backlog.waiting > 0) backlog.account.weight else 0.0
        waitingWeight += weight - backlog.countedWeight
        backlog.countedWeight = weight
    }

    private fun place(backlog: TeamBacklog) {
        val isOrdered = backlog in order
        val belongs = backlog.countedStartable > 0
        if (isOrdered && !belongs) order.remove(backlog)
        if (!isOrdered && belongs) {
            backlog.virtualStart = maxOf(backlog.virtualStart, virtualTime)
            order.add(backlog)
        }
    }

    private class TeamBacklog(
        val account: TeamAccount,
    ) {
        val parts = ArrayDeque<QueuedPart>()
        var waiting = 0
        var workMillis = 0.0
        var virtualStart = 0.0
        var countedStartable = 0
        var countedWeight = 0.0
    }
}
