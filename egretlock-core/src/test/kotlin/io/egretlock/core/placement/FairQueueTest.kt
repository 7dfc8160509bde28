package io.egretlock.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class FairQueueTest {
    private val queue = FairQueue()
    private val heavy = TeamAccount(TEAM).apply { weight = 2.0 }
    private val light = TeamAccount(OTHER_TEAM)

    @Test
    fun `given two teams with a backlog, when tasks start, then their shares follow the weights`() {
        queue.addLast(batch("h", heavy, 40), heavy)
        queue.addLast(batch("l", light, 40), light)
        val teams = List(30) { takeNext() }
        assertEquals(20 to 10, teams.count { it == TEAM } to teams.count { it == OTHER_TEAM })
    }

    @Test
    fun `given a team that was idle, when it queues tasks again, then it does not catch up on missed slots`() {
        queue.addLast(batch("h", heavy, 40), heavy)
        repeat(20) { takeNext() }
        queue.addLast(batch("l", light, 20), light)
        val teams = List(6) { takeNext() }
        assertEquals(2, teams.count { it == OTHER_TEAM })
    }

    @Test
    fun `given a team at its quota, when one of its tasks ends, then it is served again`() {
        heavy.concurrency = 1
        queue.addLast(batch("h", heavy, 2), heavy)
        takeNext()
        assertNull(queue.peek())
        assertEquals(0, queue.startable)
        heavy.running--
        queue.updateAccount(heavy)
        assertEquals(TEAM, takeNext())
    }

    @Test
    fun `given a dropped batch, when the next one is requested, then it is skipped and its work subtracted`() {
        val dropped = batch("d", heavy, 5)
        queue.addLast(dropped, heavy)
        queue.addLast(batch("h", heavy, 1), heavy)
        queue.drop(dropped, heavy)
        assertEquals(1 to WORK_MILLIS, queue.waiting to queue.workMillis)
        assertEquals(
            "h",
            queue
                .peek()
                ?.owner
                ?.job
                ?.id
                ?.value,
        )
    }

    @Test
    fun `given a large backlog of another team, when work ahead is estimated, then only its fair share counts`() {
        queue.addLast(batch("h", heavy, 100), heavy)
        assertEquals(3 * WORK_MILLIS, queue.workAheadMillis(light, WORK_MILLIS))
        assertEquals(101 * WORK_MILLIS, queue.workAheadMillis(heavy, WORK_MILLIS))
    }

    private fun takeNext() =
        queue.peek()?.let { batch ->
            val account = if (batch.owner.job.team == TEAM) heavy else light
            batch.take()
            account.running++
            queue.removeStarted(batch, account)
            account.team
        }

    private fun batch(
        id: String,
        account: TeamAccount,
        tasks: Int,
    ) = TaskBatch(
        QueuedJob(job(id, tasks, account.team), deadlineAtMillis = 1_000),
        IntArray(tasks) { it },
        WORK_MILLIS,
        TaskClass.SHORT,
    )

    private companion object {
        const val WORK_MILLIS = 100.0
    }
}
