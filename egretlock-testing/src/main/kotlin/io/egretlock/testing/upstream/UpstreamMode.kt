package io.egretlock.testing.upstream

import kotlinx.serialization.Serializable

/** How a stand-in treats the tasks that start from now on. */
@Serializable
enum class UpstreamMode {
    /** Runs each task for its run time and answers it. */
    NORMAL,

    /** Fails each task as soon as it starts. */
    FAIL,

    /** Starts each task and never answers it. */
    HANG,

    /** Takes ten times as long for each task. */
    SLOW,
}
