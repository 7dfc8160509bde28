package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.ProblemVerdict
import io.egretlock.testing.system.AgentNode
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.LoadGenerator
import io.egretlock.testing.system.TestSystem
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Submits jobs during [change]; each must be completed, or refused as not run. */
internal fun TestSystem.assertNoRequestCut(change: () -> Unit) {
    val load =
        LoadGenerator(
            this,
            intervalMillis = 25,
            newId = Jobs::id,
            job = Jobs.job(tasks = 3, runMillis = 60),
        ).start()
    load.use { change() }
    val replies = load.finish()
    assertEquals(emptyList<JobReply>(), replies.filter(::isCut))
    assertTrue(
        replies.count { it is JobReply.Complete } * 2 > replies.size,
    ) { "At most half of ${replies.size} jobs were completed." }
    assertEquals(emptyList<Violation>(), violations())
}

/** Lets the upstream of [agent] leave; no task may start there more than 3 s later. */
internal fun TestSystem.assertNoStartAfterLeave(agent: AgentNode) {
    val upstream = agent.upstream
    upstream.deregister()
    val leftAtMillis = System.currentTimeMillis()
    Await.until("the other upstream is used 4 s later") {
        agents
            .last()
            .upstream.starts
            .any { it.startedAtMillis > leftAtMillis + 4_000 }
    }
    assertEquals(
        emptyList<String>(),
        upstream.starts.filter { it.startedAtMillis > leftAtMillis + 3_000 }.map { it.task },
    )
}

private fun isCut(reply: JobReply): Boolean =
    when (reply) {
        is JobReply.Complete, is JobReply.Unreachable -> false
        is JobReply.Lost -> true
        is JobReply.Refused -> reply.problem.verdict != ProblemVerdict.NOT_RUN
    }
