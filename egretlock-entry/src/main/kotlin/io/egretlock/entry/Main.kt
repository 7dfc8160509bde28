package io.egretlock.entry

import io.egretlock.entry.run.RunEntryProcess
import io.egretlock.platform.BootRole
import io.egretlock.platform.checkBootSettings
import io.egretlock.platform.readBootSettings
import io.egretlock.process.CommandLine
import io.egretlock.process.LogSetup
import io.egretlock.process.log.StructuredLogProvider
import io.egretlock.process.program
import io.egretlock.process.serve
import io.egretlock.store.etcd.EtcdStore
import io.egretlock.store.etcd.EtcdStoreSettings

private const val USAGE =
    """Usage: egretlock-entry COMMAND [FLAGS]

Takes callers' jobs and dispatches their tasks to agents.

  run      Runs the entry until SIGTERM, then stops gracefully.
  serve    Runs the entry on the users' platform, with the settings file that the platform provides.
  check    Checks the settings and prints every fault.
  dump     Prints the state of a running entry as JSON.
  explain  Prints what log files of entries and agents say about one job: explain JOB FILE...

  check-config FILE    Checks a settings file of the users' platform.

  settings get    Prints a team's settings in force as YAML, with their revision.
  settings put    Checks a team's settings in a YAML file, then stores them on top of a revision.

  COMMAND --help    Lists the command's flags with their environment variables.
  --version         Prints the version."""

private val commandLine = CommandLine("egretlock-entry")

private val program =
    program("egretlock-entry", USAGE) {
        command("run", ::run)
        command("serve") { serve() }
        command("check-config") { arguments -> commandLine.checkBootSettings(BootRole.ENTRY, arguments) }
        command("check", ::check)
        command("dump", ::dump)
        command("explain") { arguments -> ExplainCommand(commandLine).run(arguments) }
        command("settings") { flags -> SettingsCommand(commandLine).run(flags) }
    }

/** Entry point of `egretlock-entry`. */
fun main(arguments: Array<String>) = program.run(arguments)

private fun run(flags: List<String>) {
    val settings = commandLine.readSettings("run", flags, EntrySettings.ALL, EntrySettings::read)
    LogSetup.apply(settings.logFormat)
    commandLine.serve(EntryProcess(settings, EtcdStore(EtcdStoreSettings(settings.storeAddresses))))
}

private fun serve() {
    StructuredLogProvider.install()
    commandLine.serve(RunEntryProcess(commandLine.readBootSettings(BootRole.ENTRY)))
}

private fun check(flags: List<String>) {
    commandLine.readSettings("check", flags, EntrySettings.ALL, EntrySettings::read)
    println("The settings are valid.")
}

private fun dump(flags: List<String>) {
    val (address, token) =
        commandLine.readSettings("dump", flags, EntrySettings.INSPECTION) { reader ->
            EntrySettings.operatorsAddress(reader) to EntrySettings.operatorToken(reader)
        }
    commandLine.printAnswer("http://$address/dump", token)
}
