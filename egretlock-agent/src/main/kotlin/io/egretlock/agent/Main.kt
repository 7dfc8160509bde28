package io.egretlock.agent

import io.egretlock.agent.run.RunAgentProcess
import io.egretlock.platform.BootRole
import io.egretlock.platform.checkBootSettings
import io.egretlock.platform.readBootSettings
import io.egretlock.process.CommandLine
import io.egretlock.process.LogSetup
import io.egretlock.process.log.StructuredLogProvider
import io.egretlock.process.program
import io.egretlock.process.serve

private const val USAGE =
    """Usage: egretlock-agent COMMAND [FLAGS]

Runs beside one upstream and starts its tasks.

  run      Runs the agent until SIGTERM, then stops gracefully.
  serve    Runs the agent on the users' platform, with the settings file that the platform provides.
  check    Checks the settings and prints every fault.
  dump     Prints the state of a running agent as JSON.

  check-config FILE    Checks a settings file of the users' platform.

  COMMAND --help    Lists the command's flags with their environment variables.
  --version         Prints the version."""

private val commandLine = CommandLine("egretlock-agent")

private val program =
    program("egretlock-agent", USAGE) {
        command("run", ::run)
        command("serve") { serve() }
        command("check-config") { arguments -> commandLine.checkBootSettings(BootRole.AGENT, arguments) }
        command("check", ::check)
        command("dump", ::dump)
    }

/** Entry point of `egretlock-agent`. */
fun main(arguments: Array<String>) = program.run(arguments)

private fun run(flags: List<String>) {
    val settings = commandLine.readSettings("run", flags, AgentSettings.ALL, AgentSettings::read)
    LogSetup.apply(settings.logFormat)
    commandLine.serve(AgentProcess(settings))
}

private fun serve() {
    StructuredLogProvider.install()
    commandLine.serve(RunAgentProcess(commandLine.readBootSettings(BootRole.AGENT)))
}

private fun check(flags: List<String>) {
    commandLine.readSettings("check", flags, AgentSettings.ALL, AgentSettings::read)
    println("The settings are valid.")
}

private fun dump(flags: List<String>) {
    val (address, token) =
        commandLine.readSettings("dump", flags, AgentSettings.DUMP) { reader ->
            AgentSettings.readOperatorsAddress(reader) to AgentSettings.readOperatorToken(reader)
        }
    commandLine.printAnswer("http://$address/dump", token)
}
