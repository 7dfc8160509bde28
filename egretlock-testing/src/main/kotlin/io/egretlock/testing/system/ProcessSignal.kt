package io.egretlock.testing.system

/** A signal that a test can send to a process it started. */
enum class ProcessSignal {
    /** Asks for a graceful shutdown. */
    TERM,

    /** Ends the process without warning. */
    KILL,

    /** Pauses the process. */
    STOP,

    /** Lets a paused process go on. */
    CONT,
}
