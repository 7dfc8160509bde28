package io.egretlock.core.run

import io.egretlock.core.job.JobId
import kotlinx.serialization.Serializable

/**
 * Announcement of an entry to the other entries: all jobs that it owns and that they must not start runs of. It
 * replaces earlier announcements of the same entry.
 *
 * @property round number of the announcement, which increases.
 * @property running those of [jobs] that have active runs.
 */
@Serializable
data class OwnedJobs(
    val round: Long,
    val jobs: List<JobId>,
    val running: Set<JobId> = emptySet(),
)

/**
 * Answer of an entry to an [OwnedJobs] announcement.
 *
 * @property kept announced jobs that the answering entry owns itself.
 * @property yielded announced jobs that the answering entry owned until now and has to give up.
 * @property isComplete whether the answer can be given; false while runs of yielded jobs are being stopped.
 */
data class Confirmation(
    val round: Long,
    val kept: List<JobId>,
    val yielded: List<JobId>,
    val isComplete: Boolean,
)
