package io.egretlock.agent

/** Placeholder until the command line stands. */
fun main() = println("egretlock-agent")
