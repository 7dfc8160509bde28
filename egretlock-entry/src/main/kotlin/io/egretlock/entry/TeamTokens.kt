package io.egretlock.entry

import io.egretlock.core.job.TeamName
import java.security.MessageDigest

/** The bearer tokens with which operators prove that they may edit a team's settings. Never shown as text. */
class TeamTokens(
    private val tokens: Map<TeamName, String>,
) {
    /** Whether [authorization], an `Authorization` header, carries the token of [team]. Takes constant time. */
    fun allow(
        team: TeamName,
        authorization: String?,
    ): Boolean {
        val token = tokens[team]
        val matches = MessageDigest.isEqual(digest("Bearer ${token.orEmpty()}"), digest(authorization.orEmpty()))
        return matches && token != null
    }

    override fun toString(): String = "TeamTokens(${tokens.keys.joinToString()})"

    private fun digest(text: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())

    /** Reads tokens from settings. */
    companion object {
        /** Words for what [parse] reads. */
        const val ALLOWED = "team=token, separated by commas, with tokens of at least 16 characters"
        private const val SHORTEST_TOKEN = 16

        /** Reads `team=token,team=token`; null if [text] is not of that form. */
        fun parse(text: String): TeamTokens? {
            val pairs = text.split(',').map { pair -> pair.substringBefore('=').trim() to pair.substringAfter('=', "") }
            val valid = pairs.all { (team, token) -> team.isNotEmpty() && token.length >= SHORTEST_TOKEN }
            return if (valid) TeamTokens(pairs.associate { (team, token) -> TeamName(team) to token }) else null
        }
    }
}
