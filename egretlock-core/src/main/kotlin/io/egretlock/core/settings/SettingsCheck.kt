package io.egretlock.core.settings

/** Checks the values of a team's settings against each other and against the limits of the system. */
object SettingsCheck {
    private const val LARGEST_CONCURRENT_TASKS = 1_000_000L
    private const val LARGEST_QUEUE_TASKS = 10_000_000L
    private const val LARGEST_DEADLINE_MILLIS = 86_400_000L
    private const val LARGEST_JOB_TASKS = 10_000L
    private const val SMALLEST_WEIGHT = 0.001
    private const val LARGEST_WEIGHT = 1_000.0
    private const val LARGEST_SERVICE_COUNT = 1_000

    /** Description of valid names in the text of a fault. */
    const val NAME_ALLOWED = "1 to 64 letters, digits, '.', '-' or '_'"

    private val namePattern = Regex("[A-Za-z0-9._-]{1,64}")

    /** All faults of [settings], in the order of the tree; empty if the settings are valid. */
    fun faultsOf(settings: TeamSettings): List<SettingsFault> =
        FaultCollector()
            .apply {
                checkName("team", settings.team.value)
                checkNumber("weight", settings.weight, SMALLEST_WEIGHT, LARGEST_WEIGHT)
                checkSize("services", settings.services.size, LARGEST_SERVICE_COUNT)
                settings.services.forEachIndexed { index, service -> checkService("services[$index]", service) }
                checkDuplicates(settings.services)
                checkReferences(settings)
            }.faults

    private fun FaultCollector.checkService(
        path: String,
        service: ServiceSettings,
    ) {
        checkName("$path.name", service.name.value)
        checkWholeNumber("$path.concurrency", service.concurrency.toLong(), LARGEST_CONCURRENT_TASKS)
        checkWholeNumber("$path.longestQueue", service.longestQueue.toLong(), LARGEST_QUEUE_TASKS)
        checkWholeNumber("$path.longestDeadlineMillis", service.longestDeadlineMillis, LARGEST_DEADLINE_MILLIS)
        checkWholeNumber("$path.largestJob", service.largestJob.toLong(), LARGEST_JOB_TASKS)
        checkNumber("$path.longShare", service.longShare, smallest = 0.0, largest = 1.0)
        if (service.largestJob > service.longestQueue) {
            add("$path.largestJob", service.largestJob, "at most longestQueue, which is ${service.longestQueue}")
        }
    }

    private fun FaultCollector.checkDuplicates(services: List<ServiceSettings>) {
        services.forEachIndexed { index, service ->
            val first = services.indexOfFirst { it.name == service.name }
            if (first < index) add("services[$index].name", service.name, "a name other than that of services[$first]")
        }
    }

    private fun FaultCollector.checkReferences(settings: TeamSettings) {
        settings.closedOperations.forEachIndexed { index, reference ->
            val path = "closedOperations[$index]"
            checkName("$path.operation", reference.operation.value)
            if (settings.service(reference.service) == null) {
                add("$path.service", reference.service, "the name of one of the services")
            }
        }
    }

    private class FaultCollector {
        val faults = mutableListOf<SettingsFault>()

        fun add(
            path: String,
            value: Any,
            allowed: String,
        ) {
            faults += SettingsFault(path, value.toString(), allowed)
        }

        fun checkName(
            path: String,
            value: String,
        ) {
            if (!namePattern.matches(value)) add(path, value, NAME_ALLOWED)
        }

        fun checkWholeNumber(
            path: String,
            value: Long,
            largest: Long,
        ) {
            if (value !in 1..largest) add(path, value, "a whole number from 1 to $largest")
        }

        fun checkNumber(
            path: String,
            value: Double,
            smallest: Double,
            largest: Double,
        ) {
            if (value !in smallest..largest) add(path, value, "a number from $smallest to $largest")
        }

        fun checkSize(
            path: String,
            size: Int,
            largest: Int,
        ) {
            if (size > largest) add(path, "$size entries", "at most $largest entries")
        }
    }
}
