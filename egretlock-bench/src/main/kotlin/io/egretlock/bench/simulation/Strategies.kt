package io.egretlock.bench.simulation

import java.util.Random

/** Sends each task immediately, to the agents in round-robin order. */
internal class RoundRobinPush(
    private val context: StrategyContext,
) : Strategy {
    private var next = 0

    override fun submit(job: SimulatedJob): Refusal? {
        for (task in job.tasks) {
            context.send(task, context.agents[next])
            next = (next + 1) % context.agents.size
        }
        return null
    }

    override fun taskEnded(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) = Unit

    override fun jobEnded(job: SimulatedJob) = Unit
}

/** Sends each task immediately, to the agent with the smaller backlog of two random ones. */
internal class PowerOfTwoPush(
    private val context: StrategyContext,
    seed: Long,
) : Strategy {
    private val random = Random(seed)

    override fun submit(job: SimulatedJob): Refusal? {
        for (task in job.tasks) {
            val first = context.agents[random.nextInt(context.agents.size)]
            val second = context.agents[random.nextInt(context.agents.size)]
            context.send(task, if (first.backlog <= second.backlog) first else second)
        }
        return null
    }

    override fun taskEnded(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) = Unit

    override fun jobEnded(job: SimulatedJob) = Unit
}

/** One first-in-first-out queue for all agents; the fastest free agent gets the next task. Used as the ideal. */
internal class CentralQueue(
    private val context: StrategyContext,
) : Strategy {
    private val queue = ArrayDeque<SimulatedTask>()

    override fun submit(job: SimulatedJob): Refusal? {
        queue += job.tasks
        start()
        return null
    }

    override fun taskEnded(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) = start()

    override fun jobEnded(job: SimulatedJob) = Unit

    private fun start() {
        while (queue.isNotEmpty()) {
            val free = context.agents.filter { it.backlog < it.traits.slots }
            val fastest = free.maxByOrNull { it.speed } ?: return
            context.send(queue.removeFirst(), fastest)
        }
    }
}
