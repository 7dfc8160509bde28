package io.egretlock.entry

import io.egretlock.core.job.TeamName
import java.security.MessageDigest

/** Bearer tokens that allow operators to edit a team's settings. [toString] omits the tokens. */
class TeamTokens(
    private val tokens: Map<TeamName, String>,
) {
    /** Whether [authorization], an `Authorization` header, carries the token of [team]. Compares in constant time. */
    fun allows(
        team: TeamName,
        authorization: String?,
    ): Boolean {
        val token = tokens[team]
        val matches = MessageDigest.isEqual(digest("Bearer ${token.orEmpty()}"), digest(authorization.orEmpty()))
        return matches && token != null
    }

    override fun toString(): String = "TeamTokens(${tokens.keys.joinToString()})"

    private fun digest(text: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())

    /** Parses tokens from settings. */
    companion object {
        /** Description of the format that [parse] accepts. */
        const val ALLOWED = "team=token, separated by commas, with tokens of at least 16 characters"
        private const val MIN_TOKEN_CHARACTERS = 16

        /** Parses `team=token,team=token`; null if [text] is not of that form. */
        fun parse(text: String): TeamTokens? {
            val pairs = text.split(',').map { pair -> pair.substringBefore('=').trim() to pair.substringAfter('=', "") }
            val valid = pairs.all { (team, token) -> team.isNotEmpty() && token.length >= MIN_TOKEN_CHARACTERS }
            return if (valid) TeamTokens(pairs.associate { (team, token) -> TeamName(team) to token }) else null
        }
    }
}
