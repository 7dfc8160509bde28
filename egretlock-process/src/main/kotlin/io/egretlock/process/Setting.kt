package io.egretlock.process

/**
 * One setting of a process: a flag with an environment variable.
 *
 * @property flag long name of the flag, without dashes.
 * @property description what it means, for `--help`.
 * @property secret whether its value must not be shown.
 * @property default value used when neither flag nor variable is given; null if the setting is then absent.
 */
data class Setting(
    val flag: String,
    val description: String,
    val default: String? = null,
    val secret: Boolean = false,
) {
    /** Name of the environment variable: `store-address` is `EGRETLOCK_STORE_ADDRESS`. */
    val variable: String = "EGRETLOCK_" + flag.uppercase().replace('-', '_')
}

/** A setting with a value that is not allowed. */
data class SettingFault(
    val setting: Setting,
    val value: String?,
    val allowed: String,
) {
    override fun toString(): String =
        "--${setting.flag} (${setting.variable}): ${shown()} is not allowed; allowed: $allowed."

    private fun shown(): String =
        when {
            value == null -> "missing"
            setting.secret -> "the value, which is secret,"
            else -> "'$value'"
        }
}
