package io.egretlock.testing.upstream

import kotlinx.serialization.Serializable

/** Treatment of the tasks that a stand-in starts from now on. */
@Serializable
enum class UpstreamMode {
    /** Answers each task after its run time. */
    NORMAL,

    /** Fails each task as soon as it starts. */
    FAIL,

    /** Starts each task and never answers it. */
    HANG,

    /** Answers each task after ten times its run time. */
    SLOW,
}
