package io.egretlock.testing.system

/** A signal that a test can send to a process it started. */
enum class ProcessSignal {
    /** Asks for a graceful shutdown. */
    TERM,

    /** Kills the process immediately. */
    KILL,

    /** Pauses the process. */
    STOP,

    /** Resumes a paused process. */
    CONT,
}
