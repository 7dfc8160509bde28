package io.egretlock.core.run

import io.egretlock.core.job.ServiceName

/**
 * Forecasts how long a job waits for the work that is ahead of it in the queue.
 *
 * Work is processor time: thousandths of a core times milliseconds at speed 1. Several entries share the upstreams;
 * this entry's share of their speed is estimated as the fraction of the room in use that its own runs hold.
 */
internal class BacklogForecaster(
    private val rooms: AgentRooms,
    private val placer: StepJobPlacer,
    private val order: WaitingOrder,
) {
    /** Returns the expected wait of [arrival] in milliseconds; 0 if no work is ahead of it or no agent has reported. */
    fun waitMillis(
        jobs: Collection<ActiveJob>,
        arrival: ActiveJob,
        nowMillis: Long,
    ): Double {
        val service = arrival.queue.service
        if (!rooms.hasAgentOf(service)) return 0.0
        val waiting = jobs.filter { it.queue.service == service && it.isWaiting } + arrival
        val workAhead =
            order
                .sorted(waiting, { placer.latestStart(it) }, nowMillis)
                .takeWhile { it !== arrival }
                .sumOf { job -> job.tasks.filter { it.isWaiting }.sumOf { work(job, it) } }
        if (workAhead == 0.0) return 0.0
        val reportedRate = rooms.all.filter { it.report.service == service }.sumOf { rateOf(it) }
        val rate = reportedRate * rooms.growthFactor(nowMillis) * share(jobs, service)
        return if (rate > 0) workAhead / rate else Double.MAX_VALUE
    }

    private fun work(
        job: ActiveJob,
        task: ActiveTask,
    ): Double = placer.expectedMillis(job, task.step) * task.step.room.cpuMillicores

    private fun rateOf(room: AgentRoom): Double =
        if (room.report.accepting) room.report.total.cpuMillicores * room.report.speed else 0.0

    private fun share(
        jobs: Collection<ActiveJob>,
        service: ServiceName,
    ): Double {
        val used = rooms.all.filter { it.report.service == service }.sumOf { (it.report.total - it.free).cpuMillicores }
        val own = jobs.sumOf { job -> job.tasks.filter { it.agent != null }.sumOf { it.step.room.cpuMillicores } }
        return if (used > 0) (own.toDouble() / used).coerceIn(MIN_SHARE, 1.0) else 1.0
    }

    private companion object {
        /**
         * Lower bound of this entry's share; without it the forecast never recovers after all of the entry's runs
         * ended.
         */
        const val MIN_SHARE = 0.1
    }
}
