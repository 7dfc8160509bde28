package io.egretlock.core.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName

/** Reads settings from a parsed tree and collects values of another type, missing values and unknown keys. */
internal class SettingsTreeReader(
    private val source: SettingsSource,
) {
    private val collected = mutableListOf<SettingsFault>()
    private val locations = mutableMapOf<String, TextLocation>()

    /** Faults found so far. Values at fault are replaced by defaults in what was read. */
    val faults: List<SettingsFault>
        get() = collected.toList()

    /** [fault] with the place of its path in the text. */
    fun located(fault: SettingsFault): SettingsFault = fault.copy(location = locations[fault.path])

    /** Reads a whole tree. */
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
                concurrency = whole("concurrency", defaults.concurrency),
                longestQueue = whole("longestQueue", defaults.longestQueue),
                longestDeadlineMillis = millis("longestDeadlineMillis", defaults.longestDeadlineMillis),
                largestJob = whole("largestJob", defaults.largestJob),
                longShare = decimal("longShare", defaults.longShare),
                guards = truth("guards", defaults.guards),
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
        if (node !is YamlMap) add(path, node, "keys with values")
        val reader = MappingReader((node as? YamlMap)?.entries.orEmpty(), path, locationOf(node))
        return reader.read().also { reader.refuseUnknownKeys() }
    }

    private fun add(
        path: String,
        node: YamlNode,
        allowed: String,
    ) {
        collected += SettingsFault(path, excerpt(node), allowed, locationOf(node))
    }

    private fun excerpt(node: YamlNode): String =
        when (node) {
            is YamlScalar -> if (isPlain(node)) node.content else "\"${node.content}\""
            is YamlNull -> "null"
            is YamlList -> "a list"
            else -> "a mapping"
        }.take(LONGEST_EXCERPT)

    private fun isPlain(scalar: YamlScalar): Boolean = source.isPlain(scalar.content, locationOf(scalar))

    private fun locationOf(node: YamlNode): TextLocation = TextLocation(node.location.line, node.location.column)

    /** Reads the values of one mapping; remembers which keys were asked for. */
    private inner class MappingReader(
        entries: Map<YamlScalar, YamlNode>,
        private val path: String,
        private val location: TextLocation,
    ) {
        private val known = mutableListOf<String>()
        private val keys = entries.keys.associateBy { it.content }
        private val values = entries.mapKeys { (key, _) -> key.content }

        fun required(
            key: String,
            allowed: String,
        ): String {
            if (valueOf(key) == null) collected += SettingsFault(pathOf(key), value = null, allowed, location)
            return value(key, "", allowed) { it.content }
        }

        fun whole(
            key: String,
            default: Int,
        ): Int = plain(key, default, "a whole number") { it.toIntOrNull() }

        fun millis(
            key: String,
            default: Long,
        ): Long = plain(key, default, "a whole number of milliseconds, without a unit") { it.toLongOrNull() }

        fun decimal(
            key: String,
            default: Double,
        ): Double = plain(key, default, "a number") { text -> text.takeIf(DECIMAL::matches)?.toDouble() }

        fun truth(
            key: String,
            default: Boolean,
        ): Boolean = plain(key, default, "true or false") { it.toBooleanStrictOrNull() }

        fun <T> list(
            key: String,
            read: (YamlNode, String) -> T,
        ): List<T> {
            val node = valueOf(key) ?: return emptyList()
            if (node !is YamlList) add(pathOf(key), node, "a list")
            return (node as? YamlList)?.items.orEmpty().mapIndexed { index, item ->
                val itemPath = "${pathOf(key)}[$index]"
                locations[itemPath] = locationOf(item)
                read(item, itemPath)
            }
        }

        fun refuseUnknownKeys() {
            val unknown = keys.keys - known.toSet()
            unknown.forEach { key ->
                add(pathOf(key), keys.getValue(key), "a known key: ${known.joinToString()}")
            }
        }

        /** A value that is not a text; in quotes it would be one. */
        private fun <T : Any> plain(
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
            if (value == null) add(pathOf(key), node, allowed)
            return value ?: default
        }

        private fun valueOf(key: String): YamlNode? {
            if (key !in known) known += key
            return values[key]?.also { locations[pathOf(key)] = locationOf(it) }
        }

        private fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"
    }

    private companion object {
        const val LONGEST_EXCERPT = 100
        val DECIMAL = Regex("-?[0-9]+(\\.[0-9]+)?")
    }
}
