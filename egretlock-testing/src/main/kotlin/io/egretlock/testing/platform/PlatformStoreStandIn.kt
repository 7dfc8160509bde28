package io.egretlock.testing.platform

import io.egretlock.platform.http.HttpRequest
import io.egretlock.platform.http.HttpResponse
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.util.Base64
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Stands in for the key-value service of the users' platform: items, ranges, watches, transactions and leases, in
 * memory. Leases do not expire; while the store is down, it answers 503.
 */
class PlatformStoreStandIn {
    private val items = ConcurrentSkipListMap<String, Item>()
    private val revision = AtomicLong(1)
    private val leases = AtomicLong(1)

    /** Whether all calls are answered with status 503. */
    @Volatile
    var isDown = false

    /** Keys of the stored items. */
    val keys: Set<String>
        get() = items.keys

    /** Writes [value] as another client of the store does. */
    fun put(
        key: String,
        value: String,
    ) {
        items[key] = Item(Base64.getEncoder().encodeToString(value.encodeToByteArray()), revision.incrementAndGet())
    }

    /** Writes a value whose encoding is broken: [encoded] is stored as it is, without being base64. */
    fun putEncoded(
        key: String,
        encoded: String,
    ) {
        items[key] = Item(encoded, revision.incrementAndGet())
    }

    /** Answers one call. */
    suspend fun answer(request: HttpRequest): HttpResponse {
        if (isDown) return HttpResponse(HTTP_UNAVAILABLE)
        val path = request.path.substringBefore('?')
        val query = parameters(request.path)
        return when {
            path == "/api/kv-range" -> HttpResponse(HTTP_OK, range(query.getValue("prefix")).toString())
            path == "/api/kv-watch" -> watch(query)
            path == "/api/kv-txn" -> transaction(request)
            path == "/api/kv-lease" -> HttpResponse(HTTP_OK, """{"lease":${leases.incrementAndGet()},"ttl_ms":10000}""")
            path.startsWith("/api/kv-keep/") -> HttpResponse(HTTP_OK, """{"ttl_ms":10000}""")
            else -> HttpResponse(HTTP_NOT_FOUND)
        }
    }

    private fun range(prefix: String): JsonObject =
        buildJsonObject {
            putJsonArray("items") { items.filterKeys { it.startsWith(prefix) }.forEach { add(row(it.key, it.value)) } }
            put("has_more", false)
            put("at_rev", revision.get())
        }

    private suspend fun watch(query: Map<String, String>): HttpResponse {
        val after = query.getValue("after").toLong()
        val polls = query.getValue("wait_ms").toLong() / POLL_MILLIS
        repeat(polls.toInt()) {
            val changed = items.filter { it.key.startsWith(query.getValue("prefix")) && it.value.revision > after }
            if (isDown) return HttpResponse(HTTP_UNAVAILABLE)
            if (changed.isNotEmpty()) return HttpResponse(HTTP_OK, eventsOf(changed).toString())
            delay(POLL_MILLIS)
        }
        return HttpResponse(HTTP_OK, eventsOf(emptyMap()).toString())
    }

    private fun eventsOf(changed: Map<String, Item>): JsonObject =
        buildJsonObject {
            putJsonArray("events") { changed.forEach { add(row(it.key, it.value)) } }
            put("at_rev", revision.get())
        }

    private fun transaction(request: HttpRequest): HttpResponse {
        val body = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        for (set in body.getValue("set_keys").jsonArray.map { it.jsonObject }) {
            val value = set.getValue("value").jsonPrimitive.content
            items[set.getValue("key").jsonPrimitive.content] = Item(value, revision.incrementAndGet())
        }
        return HttpResponse(HTTP_OK, """{"revision":${revision.get()}}""")
    }

    private fun row(
        key: String,
        item: Item,
    ): JsonObject =
        JsonObject(
            mapOf(
                "key" to JsonPrimitive(key),
                "value" to JsonPrimitive(item.value),
                "revision" to JsonPrimitive(item.revision),
                "lease" to JsonPrimitive(0),
            ),
        )

    private fun parameters(path: String): Map<String, String> =
        path
            .substringAfter('?', "")
            .split('&')
            .filter { '=' in it }
            .associate { it.substringBefore('=') to java.net.URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

    private class Item(
        val value: String,
        val revision: Long,
    )

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_NOT_FOUND = 404
        const val HTTP_UNAVAILABLE = 503
        const val POLL_MILLIS = 10L
    }
}
