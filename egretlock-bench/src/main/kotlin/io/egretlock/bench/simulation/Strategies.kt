package io.egretlock.bench.simulation

import java.util.Random

/** Sends each task at once to the next agent in turn. */
internal class RoundRobinPush(
    private val workplace: Workplace,
) : Strategy {
    private var next = 0

    override fun arrived(job: SimulatedJob): Refusal? {
        for (task in job.tasks) {
            workplace.send(task, workplace.agents[next])
            next = (next + 1) % workplace.agents.size
        }
        return null
    }

    override fun ended(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) = Unit

    override fun settled(job: SimulatedJob) = Unit
}

/** Sends each task at once to the one of two random agents that has the smaller backlog. */
internal class PowerOfTwoPush(
    private val workplace: Workplace,
    seed: Long,
) : Strategy {
    private val random = Random(seed)

    override fun arrived(job: SimulatedJob): Refusal? {
        for (task in job.tasks) {
            val first = workplace.agents[random.nextInt(workplace.agents.size)]
            val second = workplace.agents[random.nextInt(workplace.agents.size)]
            workplace.send(task, if (first.backlog <= second.backlog) first else second)
        }
        return null
    }

    override fun ended(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) = Unit

    override fun settled(job: SimulatedJob) = Unit
}

/** One queue for all agents, first in, first out, the fastest free agent first: the ideal to compare with. */
internal class CentralQueue(
    private val workplace: Workplace,
) : Strategy {
    private val queue = ArrayDeque<SimulatedTask>()

    override fun arrived(job: SimulatedJob): Refusal? {
        queue += job.tasks
        start()
        return null
    }

    override fun ended(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) = start()

    override fun settled(job: SimulatedJob) = Unit

    private fun start() {
        while (queue.isNotEmpty()) {
            val free = workplace.agents.filter { it.backlog < it.traits.slots }
            val fastest = free.maxByOrNull { it.speed } ?: return
            workplace.send(queue.removeFirst(), fastest)
        }
    }
}
