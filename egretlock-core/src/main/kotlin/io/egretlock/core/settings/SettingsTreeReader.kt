package io.egretlock.core.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName

/** Reads settings from a parsed tree; collects faults for values of another type, missing values and unknown keys. */
internal class SettingsTreeReader(
    private val source: SettingsSource,
) {
    private val collectedFaults = mutableListOf<SettingsFault>()
    private val locations = mutableMapOf<String, TextLocation>()

    /** Faults found so far. Defaults replace the invalid values in the settings that were read. */
    val faults: List<SettingsFault>
        get() = collectedFaults.toList()

    /** [fault] with the location of its path in the text. */
    fun withLocation(fault: SettingsFault): SettingsFault = fault.copy(location = locations[fault.path])

    /** Reads the settings of a team from the tree's [root]. */
    fun read(root: YamlNode): TeamSettings =
        mapping(root, path = "") {
            val team = TeamName(required("team", SettingsCheck.NAME_ALLOWED))
            val defaults = TeamSettings(team)
            TeamSettings(
                team = team,
                weight = decimal("weight", defaults.weight),
                services = list("services") { node, path -> service(node, path) },
                closedOperations = list("closedOperations") { node, path -> reference(node, path) },
            )
        }

    private fun service(
        node: YamlNode,
        path: String,
    ): ServiceSettings =
        mapping(node, path) {
            val name = ServiceName(required("name", SettingsCheck.NAME_ALLOWED))
            val defaults = ServiceSettings(name)
            ServiceSettings(
                name = name,
                concurrency = wholeNumber("concurrency", defaults.concurrency),
                longestQueue = wholeNumber("longestQueue", defaults.longestQueue),
                longestDeadlineMillis = millis("longestDeadlineMillis", defaults.longestDeadlineMillis),
                largestJob = wholeNumber("largestJob", defaults.largestJob),
                longShare = decimal("longShare", defaults.longShare),
                guards = boolean("guards", defaults.guards),
            )
        }

    private fun reference(
        node: YamlNode,
        path: String,
    ): OperationReference =
        mapping(node, path) {
            OperationReference(
                service = ServiceName(required("service", SettingsCheck.NAME_ALLOWED)),
                operation = OperationName(required("operation", SettingsCheck.NAME_ALLOWED)),
            )
        }

    private fun <T> mapping(
        node: YamlNode,
        path: String,
        read: MappingReader.() -> T,
    ): T {
        if (node !is YamlMap) addFault(path, node, "keys with values")
        val reader = MappingReader((node as? YamlMap)?.entries.orEmpty(), path, locationOf(node))
        return reader.read().also { reader.refuseUnknownKeys() }
    }

    private fun addFault(
        path: String,
        node: YamlNode,
        allowed: String,
    ) {
        collectedFaults += SettingsFault(path, excerpt(node), allowed, locationOf(node))
    }

    private fun excerpt(node: YamlNode): String =
        when (node) {
            is YamlScalar -> if (isPlain(node)) node.content else "\"${node.content}\""
            is YamlNull -> "null"
            is YamlList -> "a list"
            else -> "a mapping"
        }.take(LONGEST_EXCERPT_CHARS)

    private fun isPlain(scalar: YamlScalar): Boolean = source.isPlain(scalar.content, locationOf(scalar))

    private fun locationOf(node: YamlNode): TextLocation = TextLocation(node.location.line, node.location.column)

    /** Reads the values of one mapping. The known keys are those that were asked for. */
    private inner class MappingReader(
        entries: Map<YamlScalar, YamlNode>,
        private val path: String,
        private val location: TextLocation,
    ) {
        private val knownKeys = mutableListOf<String>()
        private val keyNodes = entries.keys.associateBy { it.content }
        private val values = entries.mapKeys { (key, _) -> key.content }

        fun required(
            key: String,
            allowed: String,
        ): String {
            if (valueOf(key) == null) collectedFaults += SettingsFault(pathOf(key), value = null, allowed, location)
            return value(key, "", allowed) { it.content }
        }

        fun wholeNumber(
            key: String,
            default: Int,
        ): Int = plainScalar(key, default, "a whole number") { it.toIntOrNull() }

        fun millis(
            key: String,
            default: Long,
        ): Long = plainScalar(key, default, "a whole number of milliseconds, without a unit") { it.toLongOrNull() }

        fun decimal(
            key: String,
            default: Double,
        ): Double = plainScalar(key, default, "a number") { text -> text.takeIf(DECIMAL::matches)?.toDouble() }

        fun boolean(
            key: String,
            default: Boolean,
        ): Boolean = plainScalar(key, default, "true or false") { it.toBooleanStrictOrNull() }

        fun <T> list(
            key: String,
            read: (YamlNode, String) -> T,
        ): List<T> {
            val node = valueOf(key) ?: return emptyList()
            if (node !is YamlList) addFault(pathOf(key), node, "a list")
            return (node as? YamlList)?.items.orEmpty().mapIndexed { index, item ->
                val itemPath = "${pathOf(key)}[$index]"
                locations[itemPath] = locationOf(item)
                read(item, itemPath)
            }
        }

        fun refuseUnknownKeys() {
            val unknown = keyNodes.keys - knownKeys.toSet()
            unknown.forEach { key ->
                addFault(pathOf(key), keyNodes.getValue(key), "a known key: ${knownKeys.joinToString()}")
            }
        }

        /** Reads a value that is not a string. A quoted scalar is a string and therefore a fault. */
        private fun <T : Any> plainScalar(
            key: String,
            default: T,
            allowed: String,
            parse: (String) -> T?,
        ): T = value(key, default, allowed) { scalar -> scalar.takeIf(::isPlain)?.content?.let(parse) }

        private fun <T : Any> value(
            key: String,
            default: T,
            allowed: String,
            parse: (YamlScalar) -> T?,
        ): T {
            val node = valueOf(key) ?: return default
            val value = (node as? YamlScalar)?.let(parse)
            if (value == null) addFault(pathOf(key), node, allowed)
            return value ?: default
        }

        private fun valueOf(key: String): YamlNode? {
            if (key !in knownKeys) knownKeys += key
            return values[key]?.also { locations[pathOf(key)] = locationOf(it) }
        }

        private fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"
    }

    private companion object {
        const val LONGEST_EXCERPT_CHARS = 100
        val DECIMAL = Regex("-?[0-9]+(\\.[0-9]+)?")
    }
}
