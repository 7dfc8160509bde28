package io.egretlock.process

/**
 * A setting of a process, given as a flag or as an environment variable.
 *
 * @property flag long name of the flag, without dashes.
 * @property description explanation of the setting in the output of `--help`.
 * @property secret whether the value must not be printed.
 * @property default value used if neither flag nor variable is given; null if the setting has no default.
 */
data class Setting(
    val flag: String,
    val description: String,
    val default: String? = null,
    val secret: Boolean = false,
) {
    /** Name of the environment variable; the flag `store-address` has `EGRETLOCK_STORE_ADDRESS`. */
    val variable: String = "EGRETLOCK_" + flag.uppercase().replace('-', '_')
}

/** A setting whose value is not allowed; [value] is null if the setting is missing. */
data class SettingFault(
    val setting: Setting,
    val value: String?,
    val allowed: String,
) {
    override fun toString(): String =
        "--${setting.flag} (${setting.variable}): ${displayedValue()} is not allowed; allowed: $allowed."

    private fun displayedValue(): String =
        when {
            value == null -> "missing"
            setting.secret -> "the value, which is secret,"
            else -> "'$value'"
        }
}
