package io.egretlock.bench

/** Placeholder until the command line stands. */
fun main() = println("egretlock-bench")
