package io.egretlock.testing

/** Placeholder until the command line stands. */
fun main() = println("egretlock-testing")
