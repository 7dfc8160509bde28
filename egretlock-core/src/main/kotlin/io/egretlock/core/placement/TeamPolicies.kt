package io.egretlock.core.placement

import io.egretlock.core.job.Reason
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.StoredTeamSettings

/** Settings of all teams for one service, and the account of each team at this entry. */
internal class TeamPolicies(
    private val service: ServiceName,
) {
    private val stored = HashMap<TeamName, StoredTeamSettings>()
    private val accounts = HashMap<TeamName, TeamAccount>()

    /** Share of every limit that this entry enforces. */
    var entryShare = EntryShare()
        set(value) {
            field = value
            accounts.values.forEach(::refresh)
        }

    /** All accounts. */
    val all: Collection<TeamAccount>
        get() = accounts.values

    /** Mean over the service's teams, by weight, of the share of an agent's slots that long tasks may hold. */
    var longShare = 1.0
        private set

    /** Applies settings and returns the account they concern; null if they are older than those in force. */
    fun apply(settings: StoredTeamSettings): TeamAccount? {
        val team = settings.settings.team
        val current = stored[team]
        if (current != null && settings.revision < current.revision) return null
        stored[team] = settings
        longShare = meanLongShare()
        return accountOf(team).also(::refresh)
    }

    /** Limits of [team] for the service; null if it has none. */
    fun limitsOf(team: TeamName): ServiceSettings? = stored[team]?.settings?.service(service)

    /** Refusal of a job of a team without limits for the service. */
    fun refusalOf(team: TeamName): Verdict.NotRun =
        if (team in stored) {
            Verdict.NotRun(Reason.UNKNOWN_SERVICE, "Team '$team' has no service '$service'.")
        } else {
            Verdict.NotRun(Reason.UNKNOWN_TEAM, "Team '$team' has no settings.")
        }

    /** The team's account; made on first use. */
    fun accountOf(team: TeamName): TeamAccount = accounts.getOrPut(team) { TeamAccount(team).also(::refresh) }

    private fun refresh(account: TeamAccount) {
        val settings = stored[account.team]?.settings ?: return
        account.weight = settings.weight
        val limits = settings.service(service) ?: return
        account.concurrency = entryShare.of(limits.concurrency)
        account.countsForGuard = limits.guards
    }

    private fun meanLongShare(): Double {
        var weights = 0.0
        var weighted = 0.0
        for (team in stored.values) {
            val limits = team.settings.service(service) ?: continue
            weights += team.settings.weight
            weighted += team.settings.weight * limits.longShare
        }
        return if (weights > 0) weighted / weights else 1.0
    }
}
