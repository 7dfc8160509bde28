package io.egretlock.process

import io.egretlock.core.roster.NodeAddress

/**
 * Reads settings from flags and environment variables; a flag overrides its variable. Collects all faults instead of
 * failing at the first one.
 */
class SettingReader(
    private val flags: Map<String, String>,
    private val environment: Map<String, String>,
) {
    private val collectedFaults = mutableListOf<SettingFault>()

    /** Faults that the reads found so far. */
    val faults: List<SettingFault>
        get() = collectedFaults.toList()

    /** Unparsed value; null if the setting is absent and has no default. */
    fun optional(setting: Setting): String? =
        flags[setting.flag] ?: environment[setting.variable]?.takeIf { it.isNotEmpty() } ?: setting.default

    /** Name of 1 to 64 letters, digits, dots, dashes and underscores. */
    fun name(setting: Setting): String =
        read(setting, "1 to 64 letters, digits, '.', '-' or '_'", "") { text -> text.takeIf { NAME.matches(it) } }

    /** Address as `host:port`, with an IP address as the host. */
    fun address(setting: Setting): NodeAddress =
        read(setting, "an address as host:port with port 1 to 65535", NodeAddress("", 0)) { NodeAddress.parse(it) }

    /** One or more addresses, separated by commas. */
    fun addresses(setting: Setting): List<NodeAddress> =
        read(setting, "addresses as host:port, separated by commas", emptyList()) { text ->
            val parsed = text.split(',').map { NodeAddress.parse(it.trim()) }
            parsed.filterNotNull().takeIf { it.size == parsed.size }
        }

    /** A whole number within [range]. */
    fun number(
        setting: Setting,
        range: LongRange,
    ): Long =
        read(setting, "a whole number from ${range.first} to ${range.last}", range.first) { text ->
            text.toLongOrNull()?.takeIf { it in range }
        }

    /** One of [choices]. */
    fun choice(
        setting: Setting,
        choices: List<String>,
    ): String = read(setting, choices.joinToString(" or "), choices.first()) { text -> text.takeIf { it in choices } }

    /** Bearer token of the operators; may be absent only if [address] is a loopback address. */
    fun operatorToken(
        token: Setting,
        address: Setting,
    ): String? {
        val local = optional(address).orEmpty().startsWith(LOOPBACK_PREFIX)
        if (local && optional(token) == null) return null
        return read(token, "a token of at least $MIN_TOKEN_LENGTH characters, as --${address.flag} is not local", "") {
            it.takeIf { text -> local || text.length >= MIN_TOKEN_LENGTH }
        }
    }

    /** Value parsed by [parse]; [allowed] describes valid values, and [fallback] replaces an invalid one. */
    fun <T : Any> read(
        setting: Setting,
        allowed: String,
        fallback: T,
        parse: (String) -> T?,
    ): T {
        val text = optional(setting)
        val value = text?.let(parse)
        if (value == null) collectedFaults += SettingFault(setting, text, allowed)
        return value ?: fallback
    }

    private companion object {
        const val LOOPBACK_PREFIX = "127."
        const val MIN_TOKEN_LENGTH = 16
        val NAME = Regex("[A-Za-z0-9._-]{1,64}")
    }
}
