package io.egretlock.core.placement

import io.egretlock.core.job.TaskSpecification

/** The waiting tasks of both classes, and the order between the classes. */
internal class ClassQueues(
    private val parts: FairDispatcherParts,
    private val policies: TeamPolicies,
) {
    val short = parts.newQueue()
    val long = parts.newQueue()
    private val order = ClassOrder()

    val waiting: Int
        get() = short.waiting + long.waiting

    val startable: Int
        get() = short.startable + long.startable

    val workMillis: Double
        get() = short.workMillis + long.workMillis

    /** Share of contended work that goes to long tasks. */
    var longShare: Double by order::longShare

    /** The class to serve first. */
    fun firstClass(): TaskClass = order.first()

    /** Queues all tasks of a job. */
    fun enqueue(job: QueuedJob) {
        val tasks = job.job.tasks
        val account = policies.accountOf(job.job.team)
        val byClass = tasks.indices.groupBy { index -> parts.classifier.classOf(tasks[index].operation) }
        byClass.forEach { (taskClass, indices) ->
            val workMillis = indices.sumOf { index -> expectedMillis(tasks[index]) } / indices.size
            val part = QueuedPart(job, indices.toIntArray(), workMillis, taskClass)
            job.add(part)
            queueOf(taskClass).addLast(part, account)
        }
    }

    /** Queues a task again that had been placed, at the head. */
    fun putBack(
        task: RunningTask,
        index: Int,
    ) {
        val part = QueuedPart(task.job, intArrayOf(index), task.workMillis, task.taskClass)
        task.job.add(part)
        queueOf(part.taskClass).addFirst(part, task.account)
    }

    /** Drops all waiting tasks of a job, which counts as withdrawn from now on. */
    fun drop(job: QueuedJob) {
        val account = policies.accountOf(job.job.team)
        job.isWithdrawn = true
        job.waitingTasks = 0
        job.parts.forEach { part -> queueOf(part.taskClass).drop(part, account) }
        job.parts.clear()
    }

    /** The part whose next task is the next to start of [taskClass]; null if none may start. */
    fun next(taskClass: TaskClass): QueuedPart? {
        while (true) {
            val part = queueOf(taskClass).next() ?: return null
            val current = parts.classifier.classOf(part.nextSpecification.operation)
            if (current == taskClass) return part
            reclassify(part, current)
        }
    }

    /** Takes the next task of [part] as started and returns its index. [longRoom] tells whether long tasks may start. */
    fun take(
        part: QueuedPart,
        account: TeamAccount,
        longRoom: Boolean,
    ): Int {
        val index = part.take()
        account.running++
        queueOf(part.taskClass).taken(part, account)
        accountChanged(account)
        order.started(part.taskClass, part.workMillis, isContended(part.taskClass, longRoom))
        return index
    }

    /** Applies a change of an account's limits or use. */
    fun accountChanged(account: TeamAccount) {
        short.accountChanged(account)
        long.accountChanged(account)
    }

    private fun isContended(
        startedClass: TaskClass,
        longRoom: Boolean,
    ): Boolean =
        when (startedClass) {
            TaskClass.SHORT -> long.startable > 0 && longRoom
            TaskClass.LONG -> short.startable > 0
        }

    /** Moves the next task of [part] to the queue of the class that its operation now has. */
    private fun reclassify(
        part: QueuedPart,
        taskClass: TaskClass,
    ) {
        val account = policies.accountOf(part.owner.job.team)
        val workMillis = expectedMillis(part.nextSpecification)
        val moved = QueuedPart(part.owner, intArrayOf(part.take()), workMillis, taskClass)
        queueOf(part.taskClass).moved(part, account)
        part.owner.parts.add(moved)
        queueOf(taskClass).addLast(moved, account)
    }

    private fun expectedMillis(task: TaskSpecification): Double =
        parts.runTimes.expectedMillis(task.operation, task.declared.runMillis)

    private fun queueOf(taskClass: TaskClass): TaskQueue = if (taskClass == TaskClass.SHORT) short else long
}
