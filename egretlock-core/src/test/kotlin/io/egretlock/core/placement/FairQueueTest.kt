package io.egretlock.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class FairQueueTest {
    private val queue = FairQueue()
    private val heavy = TeamAccount(TEAM).apply { weight = 2.0 }
    private val light = TeamAccount(OTHER_TEAM)

    @Test
    fun `given two backlogs, when tasks are taken, then they start in proportion to the weights`() {
        queue.addLast(part("h", heavy, 40), heavy)
        queue.addLast(part("l", light, 40), light)
        val teams = List(30) { takeNext() }
        assertEquals(20 to 10, teams.count { it == TEAM } to teams.count { it == OTHER_TEAM })
    }

    @Test
    fun `given a team that was idle, when it comes back, then it gains no claim on earlier slots`() {
        queue.addLast(part("h", heavy, 40), heavy)
        repeat(20) { takeNext() }
        queue.addLast(part("l", light, 20), light)
        val teams = List(6) { takeNext() }
        assertEquals(2, teams.count { it == OTHER_TEAM })
    }

    @Test
    fun `given a team at its quota, when a task of it ends, then it is served again`() {
        heavy.concurrency = 1
        queue.addLast(part("h", heavy, 2), heavy)
        takeNext()
        assertNull(queue.next())
        assertEquals(0, queue.startable)
        heavy.running--
        queue.accountChanged(heavy)
        assertEquals(TEAM, takeNext())
    }

    @Test
    fun `given a dropped part, when the next is asked, then it is skipped and its work is gone`() {
        val dropped = part("d", heavy, 5)
        queue.addLast(dropped, heavy)
        queue.addLast(part("h", heavy, 1), heavy)
        queue.drop(dropped, heavy)
        assertEquals(1 to WORK_MILLIS, queue.waiting to queue.workMillis)
        assertEquals(
            "h",
            queue
                .next()
                ?.owner
                ?.job
                ?.id
                ?.value,
        )
    }

    @Test
    fun `given a large backlog of another team, when work is estimated, then only the fair share is ahead`() {
        queue.addLast(part("h", heavy, 100), heavy)
        assertEquals(3 * WORK_MILLIS, queue.workAheadMillis(light, WORK_MILLIS))
        assertEquals(101 * WORK_MILLIS, queue.workAheadMillis(heavy, WORK_MILLIS))
    }

    private fun takeNext() =
        queue.next()?.let { part ->
            val account = if (part.owner.job.team == TEAM) heavy else light
            part.take()
            account.running++
            queue.taken(part, account)
            account.team
        }

    private fun part(
        id: String,
        account: TeamAccount,
        tasks: Int,
    ) = QueuedPart(
        QueuedJob(job(id, tasks, account.team), deadlineAtMillis = 1_000),
        IntArray(tasks) { it },
        WORK_MILLIS,
        TaskClass.SHORT,
    )

    private companion object {
        const val WORK_MILLIS = 100.0
    }
}
