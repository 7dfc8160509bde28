package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.system.TestSystem
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.RegisterExtension

class WholePathTest {
    @Test
    fun `given a job with 260 tasks, when submitted, then every answer comes in task order`() {
        val id = Jobs.id()
        val reply = system.submit(system.entries.first(), id, Jobs.job(tasks = 260, runMillis = 5)).join()
        val complete = assertInstanceOf(JobReply.Complete::class.java, reply)
        assertEquals(260, complete.answers.size)
        assertEquals(260, system.starts.count { it.task.startsWith(id) })
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given a job submitted at both entries, when it runs, then both get the same answer and it ran once`() {
        val id = Jobs.id()
        val job = Jobs.job(tasks = 10, runMillis = 200)
        val replies = system.entries.map { system.submit(it, id, job) }.map { it.join() }
        assertInstanceOf(JobReply.Complete::class.java, replies.first())
        assertEquals(replies.first(), replies.last())
        assertEquals(10, system.starts.count { it.task.startsWith(id) })
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given an answered job, when resubmitted, then the same answer comes again`() {
        val id = Jobs.id()
        val job = Jobs.job(tasks = 3)
        val first = system.submit(system.entries.first(), id, job).join()
        assertInstanceOf(JobReply.Complete::class.java, first)
        assertEquals(first, system.submit(system.entries.last(), id, job).join())
        assertEquals(3, system.starts.count { it.task.startsWith(id) })
    }

    private companion object {
        @JvmField
        @RegisterExtension
        val shared = sharedSmallSystem()

        val system: TestSystem
            get() = shared.value
    }
}
