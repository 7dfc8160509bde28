package io.egretlock.process

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType

/** Parses the flags of one subcommand with kotlinx-cli, all as strings; [SettingReader] validates the values. */
class FlagParser(
    private val program: String,
    private val settings: List<Setting>,
) {
    /** Values of the flags in [arguments], by flag name. Prints help and ends the process if they contain `--help`. */
    fun parse(arguments: List<String>): Map<String, String> {
        val parser = ArgParser(program)
        val options =
            settings.associateWith { setting ->
                parser.option(ArgType.String, fullName = setting.flag, description = helpText(setting))
            }
        val holders = options.mapValues { (_, option) -> ValueHolder(option) }
        parser.parse(arguments.toTypedArray())
        return holders.mapNotNull { (setting, holder) -> holder.value?.let { setting.flag to it } }.toMap()
    }

    /** Names of the flags in [arguments] that belong to no setting. */
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
