package io.egretlock.entry

import io.egretlock.core.job.Reason
import io.egretlock.core.job.TeamName
import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.OutcomeCount
import io.egretlock.protocol.OutcomeReport
import io.egretlock.protocol.ProcessRevision
import io.javalin.config.JavalinConfig
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.future.future
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/**
 * Response body with the outcomes of a team's jobs over all entries.
 *
 * @property serviceLevel share of complete jobs among those not cancelled by callers, from 0 to 1; null without any.
 * @property silentEntries entries of the roster that did not answer; their jobs are not counted.
 */
@Serializable
data class OutcomesBody(
    val team: String,
    val serviceLevel: Double?,
    val outcomes: List<OutcomeCount>,
    val revisions: List<ProcessRevision>,
    val silentEntries: List<String>,
)

/** HTTP route for operators with a team's job outcomes and the settings revision in force at each process. */
internal class OutcomeRoutes(
    private val router: JobRouter,
    private val peers: () -> List<EntryMember>,
    private val scope: CoroutineScope,
) {
    /** Adds the route to a server. */
    fun addTo(config: JavalinConfig) {
        config.routes.get("/v1/teams/{team}/outcomes") { context ->
            context.future {
                scope.future {
                    val body = collect(TeamName(context.pathParam("team")))
                    context.contentType("application/json").result(json.encodeToString(body))
                }
            }
        }
    }

    private suspend fun collect(team: TeamName): OutcomesBody =
        coroutineScope {
            val asked = peers()
            val replies = asked.map { member -> async { router.outcomesAt(member, team) } }.awaitAll()
            val silent = asked.zip(replies).filter { (_, reply) -> reply == null }.map { (member, _) -> member.entry }
            body(team, replies.filterNotNull() + router.outcomesHere(team), silent.map { it.toString() })
        }

    private fun body(
        team: TeamName,
        reports: List<OutcomeReport>,
        silent: List<String>,
    ): OutcomesBody {
        val outcomes = sum(reports.flatMap { it.outcomes })
        return OutcomesBody(
            team = team.value,
            serviceLevel = serviceLevel(outcomes),
            outcomes = outcomes,
            revisions = lowest(reports.flatMap { it.revisions }),
            silentEntries = silent,
        )
    }

    private fun sum(counts: List<OutcomeCount>): List<OutcomeCount> =
        counts.groupBy { it.verdict to it.reason }.map { (_, same) -> same.first().copy(jobs = same.sumOf { it.jobs }) }

    private fun serviceLevel(outcomes: List<OutcomeCount>): Double? {
        val counted = outcomes.filter { it.reason != Reason.CANCELLED.code }
        val all = counted.sumOf { it.jobs }
        return if (all == 0L) null else counted.filter { it.verdict == "complete" }.sumOf { it.jobs }.toDouble() / all
    }

    /** The lowest revision reported for each process; a newer one counts once all reports of the process have it. */
    private fun lowest(revisions: List<ProcessRevision>): List<ProcessRevision> =
        revisions.groupBy { it.process }.map { (process, same) -> ProcessRevision(process, same.minOf { it.revision }) }

    private companion object {
        val json = Json { encodeDefaults = true }
    }
}
