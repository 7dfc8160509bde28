package io.egretlock.core.run

import io.egretlock.core.run.RunFixtures.queue
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class QueueConfigurationTest {
    private val configuration =
        QueueConfiguration(
            version = 1,
            routes =
                listOf(
                    QueueRoute("one.example", "/a/", queue("short")),
                    QueueRoute("one.example", "/a/b/", queue("long")),
                    QueueRoute("two.example", "/a/", queue("other")),
                ),
            maxBodyBytes = 100,
        )

    @Test
    fun `host and longest prefix select the route`() {
        assertEquals("long", configuration.route("one.example", "/a/b/1")?.queue?.name)
        assertEquals("short", configuration.route("one.example", "/a/1")?.queue?.name)
        assertEquals("other", configuration.route("two.example", "/a/b/1")?.queue?.name)
    }

    @Test
    fun `no route matches an unknown host or path`() {
        assertNull(configuration.route("three.example", "/a/1"))
        assertNull(configuration.route("one.example", "/b/1"))
    }
}
