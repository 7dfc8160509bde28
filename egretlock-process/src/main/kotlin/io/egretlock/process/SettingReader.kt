package io.egretlock.process

import io.egretlock.core.roster.NodeAddress

/**
 * Reads settings from flags and environment variables, flags first, and collects every fault instead of stopping at
 * the first one.
 */
class SettingReader(
    private val flags: Map<String, String>,
    private val environment: Map<String, String>,
) {
    private val collected = mutableListOf<SettingFault>()

    /** Faults of all reads so far. */
    val faults: List<SettingFault>
        get() = collected.toList()

    /** Value as given; null if absent and without a default. */
    fun optional(setting: Setting): String? =
        flags[setting.flag] ?: environment[setting.variable]?.takeIf { it.isNotEmpty() } ?: setting.default

    /** A name of letters, digits, dots, dashes and underscores. */
    fun name(setting: Setting): String =
        read(setting, "1 to 64 letters, digits, '.', '-' or '_'", "") { text -> text.takeIf { NAME.matches(it) } }

    /** An IP number and a port. */
    fun address(setting: Setting): NodeAddress =
        read(setting, "an address as host:port with port 1 to 65535", NodeAddress("", 0)) { NodeAddress.parse(it) }

    /** Addresses separated by commas; at least one. */
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

    /** A bearer token; may be absent only if [address] is a loopback address. */
    fun inspectionToken(
        token: Setting,
        address: Setting,
    ): String? {
        val local = optional(address).orEmpty().startsWith(LOOPBACK_PREFIX)
        if (local && optional(token) == null) return null
        return read(token, "a token of at least $SHORTEST_TOKEN characters, as --${address.flag} is not local", "") {
            it.takeIf { text -> local || text.length >= SHORTEST_TOKEN }
        }
    }

    /** Any value that [parse] understands; [allowed] says which, and [fallback] stands in for a faulty one. */
    fun <T : Any> read(
        setting: Setting,
        allowed: String,
        fallback: T,
        parse: (String) -> T?,
    ): T {
        val text = optional(setting)
        val value = text?.let(parse)
        if (value == null) collected += SettingFault(setting, text, allowed)
        return value ?: fallback
    }

    private companion object {
        const val LOOPBACK_PREFIX = "127."
        const val SHORTEST_TOKEN = 16
        val NAME = Regex("[A-Za-z0-9._-]{1,64}")
    }
}
