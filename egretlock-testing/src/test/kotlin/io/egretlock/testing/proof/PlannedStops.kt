package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.ProblemVerdict
import io.egretlock.testing.system.AgentNode
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.Load
import io.egretlock.testing.system.TestSystem
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Submits jobs while [change] happens; each must be answered, or refused as not run. */
internal fun TestSystem.assertNothingCut(change: () -> Unit) {
    val load =
        Load(
            this,
            intervalMillis = 25,
            newId = Jobs::id,
            job = Jobs.job(tasks = 3, runMillis = 60),
        ).start()
    load.use { change() }
    val replies = load.finish()
    assertEquals(emptyList<JobReply>(), replies.filter(::cut))
    assertTrue(
        replies.count { it is JobReply.Complete } * 2 > replies.size,
    ) { "Most of ${replies.size} were refused." }
    assertEquals(emptyList<Violation>(), violations())
}

/** Lets the upstream of [agent] leave; nothing may start there later than 3 s after. */
internal fun TestSystem.assertNoStartAfterLeave(agent: AgentNode) {
    val upstream = agent.upstream
    upstream.leave()
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

private fun cut(reply: JobReply): Boolean =
    when (reply) {
        is JobReply.Complete, is JobReply.Unreachable -> false
        is JobReply.Lost -> true
        is JobReply.Refused -> reply.problem.verdict != ProblemVerdict.NOT_RUN
    }
