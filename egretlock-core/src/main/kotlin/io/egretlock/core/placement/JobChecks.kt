package io.egretlock.core.placement

import io.egretlock.core.job.DeclaredNeeds
import io.egretlock.core.job.Job
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.ServiceSettings

/** Refuses jobs that can never run unchanged, or that cannot run until an upstream announces their service. */
internal class JobChecks(
    private val runTimes: RunTimes,
) {
    private val agentsByResources = HashMap<UpstreamResources, Int>()

    /** Adds the resources that an agent's upstream offers. */
    fun add(resources: UpstreamResources) {
        agentsByResources.merge(resources, 1, Int::plus)
    }

    /** Removes the resources of an agent that is lost or changed. */
    fun remove(resources: UpstreamResources) {
        agentsByResources.computeIfPresent(resources) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Returns the refusal of [job]; null if the job could run. */
    fun refusal(
        job: Job,
        limits: ServiceSettings,
        remainingMillis: Long,
    ): Verdict.NotRun? =
        sizeRefusal(job, limits)
            ?: upstreamRefusal(job)
            ?: needsRefusal(job)
            ?: deadlineRefusal(job, remainingMillis)

    private fun sizeRefusal(
        job: Job,
        limits: ServiceSettings,
    ): Verdict.NotRun? {
        val largest = minOf(limits.largestJob, limits.longestQueue)
        return when {
            job.tasks.size > largest ->
                Verdict.NotRun(Reason.TOO_LARGE, "The job has ${job.tasks.size} tasks; at most $largest are allowed.")

            job.deadlineMillis > limits.longestDeadlineMillis ->
                Verdict.NotRun(
                    Reason.TOO_LARGE,
                    "The deadline is ${job.deadlineMillis} ms; at most ${limits.longestDeadlineMillis} ms are allowed.",
                )

            else -> null
        }
    }

    private fun upstreamRefusal(job: Job): Verdict.NotRun? {
        if (agentsByResources.isNotEmpty()) return null
        return Verdict.NotRun(
            Reason.NO_UPSTREAM,
            "No upstream announces service '${job.service}'.",
            NO_UPSTREAM_RETRY_MILLIS,
        )
    }

    private fun needsRefusal(job: Job): Verdict.NotRun? {
        val needs = job.tasks.mapTo(HashSet()) { task -> task.declared.copy(runMillis = null) }
        needs.remove(DeclaredNeeds())
        val impossible =
            needs.firstOrNull { need -> agentsByResources.keys.none { offer -> fits(need, offer) } } ?: return null
        return Verdict.NotRun(
            Reason.IMPOSSIBLE,
            "No upstream of service '${job.service}' offers ${describe(impossible)}.",
        )
    }

    private fun deadlineRefusal(
        job: Job,
        remainingMillis: Long,
    ): Verdict.NotRun? {
        val operations = job.tasks.mapTo(HashSet()) { task -> task.operation }
        for (operation in operations) {
            val shortest = runTimes.shortestMillis(operation) ?: continue
            if (remainingMillis < shortest) {
                return Verdict.NotRun(
                    Reason.IMPOSSIBLE,
                    "$remainingMillis ms are left; the shortest run of '$operation' took $shortest ms.",
                )
            }
        }
        return null
    }

    private fun fits(
        need: DeclaredNeeds,
        offer: UpstreamResources,
    ): Boolean =
        isWithin(need.processors, offer.processors) &&
            isWithin(need.memoryBytes, offer.memoryBytes) &&
            isWithin(need.accelerators, offer.accelerators)

    private fun <T : Comparable<T>> isWithin(
        need: T?,
        offer: T?,
    ): Boolean = need == null || offer == null || need <= offer

    private fun describe(need: DeclaredNeeds): String =
        listOfNotNull(
            need.processors?.let { "$it processors" },
            need.memoryBytes?.let { "$it bytes of memory" },
            need.accelerators?.let { "$it accelerators" },
        ).joinToString()

    private companion object {
        const val NO_UPSTREAM_RETRY_MILLIS = 1_000L
    }
}
