package io.egretlock.testing.upstream

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture

class UpstreamStandInTest {
    private val client = OkHttpClient()
    private val upstream = UpstreamStandIn(UpstreamStandInOptions(service = "net-check"))

    @AfterEach
    fun stop() = upstream.close()

    @Test
    fun `given a task, when started, then its payload is echoed and the start recorded`() {
        val answer = start("job-1:0", """{"photo":7,"runMillis":1}""")
        assertEquals("200 {\"task\":\"job-1:0\",\"echo\":{\"photo\":7,\"runMillis\":1}}", answer)
        assertEquals(listOf("job-1:0"), upstream.starts.map { it.task })
    }

    @Test
    fun `given the same task twice, when started, then both starts are recorded`() {
        repeat(2) { start("job-1:0", "1") }
        assertEquals(listOf("job-1:0", "job-1:0"), upstream.starts.map { it.task })
    }

    @Test
    fun `given the mode FAIL, when a task starts, then it fails at once`() {
        upstream.mode = UpstreamMode.FAIL
        assertEquals("500 {\"error\":\"failed on purpose\"}", start("job-1:0", "1"))
    }

    @Test
    fun `given a hanging task, when stopped, then it ends without an answer`() {
        upstream.mode = UpstreamMode.HANG
        val answer = CompletableFuture.supplyAsync { start("job-1:0", "1") }
        while (upstream.starts.isEmpty()) Thread.onSpinWait()
        var status: Int
        do status = stop("job-1:0") while (status == 404)
        assertEquals("410 {\"error\":\"stopped\"}", answer.get())
        assertEquals(0, upstream.runningCount)
    }

    private fun start(
        task: String,
        payload: String,
    ): String {
        val body = """{"operation":"tear-check","payload":$payload,"remainingMillis":1000}""".toRequestBody()
        val request =
            Request
                .Builder()
                .url("${upstream.address}/tasks/$task")
                .post(body)
                .build()
        return client.newCall(request).execute().use { "${it.code} ${it.body.string()}" }
    }

    private fun stop(task: String): Int {
        val request =
            Request
                .Builder()
                .url("${upstream.address}/tasks/$task")
                .delete()
                .build()
        return client.newCall(request).execute().use { it.code }
    }
}
