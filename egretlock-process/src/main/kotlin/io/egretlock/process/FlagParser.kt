package io.egretlock.process

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType

/** Parses the flags of one subcommand with kotlinx-cli, all as text; [SettingReader] checks the values. */
class FlagParser(
    private val program: String,
    private val settings: List<Setting>,
) {
    /** Given flags by name. Prints help and ends the process where `--help` is among [arguments]. */
    fun parse(arguments: List<String>): Map<String, String> {
        val parser = ArgParser(program)
        val values =
            settings.associateWith { setting ->
                parser.option(ArgType.String, fullName = setting.flag, description = helpText(setting))
            }
        val holders = values.mapValues { (_, option) -> ValueHolder(option) }
        parser.parse(arguments.toTypedArray())
        return holders.mapNotNull { (setting, holder) -> holder.value?.let { setting.flag to it } }.toMap()
    }

    /** Flags among [arguments] that no setting has. */
    fun unknownFlags(arguments: List<String>): List<String> =
        arguments
            .filter { it.startsWith("--") }
            .map { it.removePrefix("--").substringBefore('=') }
            .filter { flag -> flag != "help" && settings.none { it.flag == flag } }

    private fun helpText(setting: Setting): String =
        "${setting.description} [${setting.variable}]" + (setting.default?.let { " (default $it)" } ?: "")

    private class ValueHolder(
        option: kotlinx.cli.SingleNullableOption<String>,
    ) {
        val value: String? by option
    }
}
