package io.egretlock.core.run

/** Which runs of a job there are at an entry. */
enum class JobRuns {
    NONE,

    /** The connection to their agent was lost, and they may not be over yet. */
    LOST,
    ACTIVE,
    ;

    /**
     * Whether an entry with these runs keeps a job that another entry has too: the one with active runs does; if both
     * have or neither has any, the one with precedence.
     */
    fun prevail(
        isRunningElsewhere: Boolean,
        hasPrecedence: Boolean,
    ): Boolean =
        when (this) {
            ACTIVE -> !isRunningElsewhere || hasPrecedence
            LOST -> !isRunningElsewhere
            NONE -> !isRunningElsewhere && hasPrecedence
        }
}
