package io.egretlock.entry

/** Placeholder until the command line stands. */
fun main() = println("egretlock-entry")
