package io.egretlock.core.settings

import kotlinx.serialization.Serializable

/**
 * One value of a team's settings that is not allowed.
 *
 * @property path position in the tree, as in `services[0].concurrency`; empty for the whole tree.
 * @property value the value found; null if it is missing.
 * @property allowed description of the allowed values.
 * @property location position in the text; null if the settings were not read from text.
 */
@Serializable
data class SettingsFault(
    val path: String,
    val value: String?,
    val allowed: String,
    val location: TextLocation? = null,
) {
    override fun toString(): String {
        val found = value?.let { "'$it'" } ?: "missing"
        val place = location?.let { " ($it)" }.orEmpty()
        return "${path.ifEmpty { "settings" }}: $found is not allowed; allowed: $allowed$place."
    }
}

/** Position in a text; both numbers count from 1. */
@Serializable
data class TextLocation(
    val line: Int,
    val column: Int,
) {
    override fun toString(): String = "line $line, column $column"
}

/** Thrown when settings with faults are passed where valid ones are required. */
class InvalidSettingsException(
    val faults: List<SettingsFault>,
) : IllegalArgumentException(faults.joinToString("\n"))
