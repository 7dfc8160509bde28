package io.egretlock.core.placement

import io.egretlock.core.job.TaskSpecification

/** A task that a dispatcher has placed on [agent] and that has not ended yet. */
internal class RunningTask(
    val job: QueuedJob,
    val account: TeamAccount,
    val taskClass: TaskClass,
    val agent: AgentState,
    val specification: TaskSpecification,
    val workMillis: Double,
)
