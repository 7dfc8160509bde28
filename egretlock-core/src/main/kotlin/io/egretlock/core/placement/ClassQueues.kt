package io.egretlock.core.placement

import io.egretlock.core.job.TaskSpecification

/** Queues of the waiting tasks of both classes, and the order between the classes. */
internal class ClassQueues(
    private val components: FairDispatcherComponents,
    private val teamAccounts: TeamAccounts,
) {
    val short = components.newQueue()
    val long = components.newQueue()
    private val order = ClassOrder()

    val waiting: Int
        get() = short.waiting + long.waiting

    val startable: Int
        get() = short.startable + long.startable

    val workMillis: Double
        get() = short.workMillis + long.workMillis

    /** Share of contended work that goes to long tasks. */
    var longShare: Double by order::longShare

    /** Returns the class to serve first. */
    fun firstClass(): TaskClass = order.first()

    /** Queues all tasks of a job. */
    fun enqueue(job: QueuedJob) {
        val tasks = job.job.tasks
        val account = teamAccounts.accountOf(job.job.team)
        val byClass = tasks.indices.groupBy { index -> components.classifier.classOf(tasks[index].operation) }
        byClass.forEach { (taskClass, indices) ->
            val workMillis = indices.sumOf { index -> expectedMillis(tasks[index]) } / indices.size
            val batch = TaskBatch(job, indices.toIntArray(), workMillis, taskClass)
            job.add(batch)
            queueOf(taskClass).addLast(batch, account)
        }
    }

    /** Puts a placed task back at the head of the queue. */
    fun putBack(
        task: RunningTask,
        index: Int,
    ) {
        val batch = TaskBatch(task.job, intArrayOf(index), task.workMillis, task.taskClass)
        task.job.add(batch)
        queueOf(batch.taskClass).addFirst(batch, task.account)
    }

    /** Drops all waiting tasks of a job and marks the job as withdrawn. */
    fun drop(job: QueuedJob) {
        val account = teamAccounts.accountOf(job.job.team)
        job.isWithdrawn = true
        job.waitingTasks = 0
        job.batches.forEach { batch -> queueOf(batch.taskClass).drop(batch, account) }
        job.batches.clear()
    }

    /** Returns the batch with the next task of [taskClass] to start, without removing it; null if none may start. */
    fun peek(taskClass: TaskClass): TaskBatch? {
        while (true) {
            val batch = queueOf(taskClass).peek() ?: return null
            val current = components.classifier.classOf(batch.nextSpecification.operation)
            if (current == taskClass) return batch
            reclassify(batch, current)
        }
    }

    /**
     * Removes the next task of [batch], counts it as started and returns its index. [canStartLong] is whether there are
     * free slots for long tasks.
     */
    fun take(
        batch: TaskBatch,
        account: TeamAccount,
        canStartLong: Boolean,
    ): Int {
        val index = batch.take()
        account.running++
        queueOf(batch.taskClass).removeStarted(batch, account)
        updateAccount(account)
        order.countStart(batch.taskClass, batch.workMillis, isContended(batch.taskClass, canStartLong))
        return index
    }

    /** Applies a change of the limits or the running tasks of [account]. */
    fun updateAccount(account: TeamAccount) {
        short.updateAccount(account)
        long.updateAccount(account)
    }

    private fun isContended(
        startedClass: TaskClass,
        canStartLong: Boolean,
    ): Boolean =
        when (startedClass) {
            TaskClass.SHORT -> long.startable > 0 && canStartLong
            TaskClass.LONG -> short.startable > 0
        }

    /** Moves the next task of [batch] to the queue of [taskClass], the current class of its operation. */
    private fun reclassify(
        batch: TaskBatch,
        taskClass: TaskClass,
    ) {
        val account = teamAccounts.accountOf(batch.owner.job.team)
        val workMillis = expectedMillis(batch.nextSpecification)
        val reclassified = TaskBatch(batch.owner, intArrayOf(batch.take()), workMillis, taskClass)
        queueOf(batch.taskClass).removeReclassified(batch, account)
        batch.owner.batches.add(reclassified)
        queueOf(taskClass).addLast(reclassified, account)
    }

    private fun expectedMillis(task: TaskSpecification): Double =
        components.runTimes.expectedMillis(task.operation, task.declared.runMillis)

    private fun queueOf(taskClass: TaskClass): TaskQueue = if (taskClass == TaskClass.SHORT) short else long
}
