package io.egretlock.testing.system

import io.egretlock.core.roster.NodeAddress
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Inspects entries and agents over HTTP, as their operators do. */
class OperatorClient {
    private val client = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).build()

    /** Whether the process accepts new work; false if it does not answer. */
    fun isReady(address: NodeAddress): Boolean =
        try {
            get(address, "/ready").use { it.isSuccessful }
        } catch (_: IOException) {
            false
        }

    /** State of the process as JSON text. */
    fun dump(address: NodeAddress): String = get(address, "/dump").use { it.body.string() }

    /** Names of the agents that an entry is connected to and that have an upstream. */
    fun servingAgents(entry: NodeAddress): Set<String> =
        homeList(entry, "agents")
            .filter { it["service"] != JsonNull }
            .map { text(it, "agent", "name") }
            .toSet()

    /** Teams whose settings are in force at an entry. */
    fun knownTeams(entry: NodeAddress): Set<String> =
        homeList(entry, "settings").map { text(it, "settings", "team") }.toSet()

    private fun homeList(
        entry: NodeAddress,
        field: String,
    ): List<JsonObject> {
        val home = Json.parseToJsonElement(dump(entry)).jsonObject.getValue("home")
        return home.jsonObject
            .getValue(field)
            .jsonArray
            .map { it.jsonObject }
    }

    private fun text(
        element: JsonObject,
        field: String,
        subfield: String,
    ): String =
        element
            .getValue(field)
            .jsonObject
            .getValue(subfield)
            .jsonPrimitive.content

    private fun get(
        address: NodeAddress,
        path: String,
    ) = client.newCall(Request.Builder().url("http://$address$path").build()).execute()

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 5_000L
    }
}
