package io.egretlock.core.placement

import io.egretlock.core.job.Reason
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.StoredTeamSettings

/** Settings of all teams for one service, and the account of each team at this entry. */
internal class TeamAccounts(
    private val service: ServiceName,
) {
    private val settingsByTeam = HashMap<TeamName, StoredTeamSettings>()
    private val accountsByTeam = HashMap<TeamName, TeamAccount>()

    /** Share of every limit that this entry enforces. */
    var entryShare = EntryShare()
        set(value) {
            field = value
            accountsByTeam.values.forEach(::refresh)
        }

    /** All accounts. */
    val all: Collection<TeamAccount>
        get() = accountsByTeam.values

    /** Share of the slots that long tasks may hold: the mean over the service's teams, weighted by their weights. */
    var longShare = 1.0
        private set

    /** Applies settings and returns the account of their team; null if they are older than the current ones. */
    fun applySettings(settings: StoredTeamSettings): TeamAccount? {
        val team = settings.settings.team
        val current = settingsByTeam[team]
        if (current != null && settings.revision < current.revision) return null
        settingsByTeam[team] = settings
        longShare = meanLongShare()
        return accountOf(team).also(::refresh)
    }

    /** Returns the limits of [team] for the service; null if it has none. */
    fun limitsOf(team: TeamName): ServiceSettings? = settingsByTeam[team]?.settings?.service(service)

    /** Returns the refusal of a job of a team that has no limits for the service. */
    fun refusalOf(team: TeamName): Verdict.NotRun =
        if (team in settingsByTeam) {
            Verdict.NotRun(Reason.UNKNOWN_SERVICE, "Team '$team' has no service '$service'.")
        } else {
            Verdict.NotRun(Reason.UNKNOWN_TEAM, "Team '$team' has no settings.")
        }

    /** Returns the team's account, which is created on first use. */
    fun accountOf(team: TeamName): TeamAccount = accountsByTeam.getOrPut(team) { TeamAccount(team).also(::refresh) }

    private fun refresh(account: TeamAccount) {
        val settings = settingsByTeam[account.team]?.settings ?: return
        account.weight = settings.weight
        val limits = settings.service(service) ?: return
        account.concurrency = entryShare.of(limits.concurrency)
        account.countsForCircuitBreaker = limits.guards
    }

    private fun meanLongShare(): Double {
        var weights = 0.0
        var weighted = 0.0
        for (team in settingsByTeam.values) {
            val limits = team.settings.service(service) ?: continue
            weights += team.settings.weight
            weighted += team.settings.weight * limits.longShare
        }
        return if (weights > 0) weighted / weights else 1.0
    }
}
