package io.egretlock.testing.demo

import io.egretlock.testing.client.JobIds
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import io.egretlock.testing.client.JobTask
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import io.egretlock.testing.upstream.UpstreamStandInOptions
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * Demo of a complete system on this machine: two entries, and three agents with their upstreams, in three failure
 * domains. Two teams submit one job each, the answers are printed, and all processes shut down gracefully.
 */
object Demo {
    private const val BOOKING = "beatday-booking"
    private const val NET_CHECK = "net-check"
    private const val DEADLINE_MILLIS = 10_000L
    private const val BOOKING_RUN_MILLIS = 120
    private const val TEAR_CHECK_RUN_MILLIS = 80
    private const val PHOTOS = 4
    private const val EXIT_FAILURE = 1

    /** Runs the demo and exits: with code 0 if both jobs were completed and every process exited with code 0. */
    fun run() {
        val succeeded = start().use { system -> submitBoth(system) && stop(system) }
        exitProcess(if (succeeded) 0 else EXIT_FAILURE)
    }

    private fun start(): TestSystem {
        println("Starting a store, two entries, three agents and three upstreams in three failure domains.")
        return startSystem {
            failureDomain("jabal-amman") {
                entry("entry-1")
                agent("agent-1", UpstreamStandInOptions(BOOKING, slots = 8))
            }
            failureDomain("weibdeh") {
                entry("entry-2")
                agent("agent-2", UpstreamStandInOptions(BOOKING, slots = 8, speed = 0.5))
            }
            failureDomain("marka") {
                agent("agent-3", UpstreamStandInOptions(NET_CHECK, slots = 8))
            }
            team("haddad", BOOKING)
            team("reti-etnee", NET_CHECK)
        }
    }

    private fun submitBoth(system: TestSystem): Boolean {
        val ids = JobIds(Random.Default)
        val (first, second) = system.entries
        val booking = system.submit(first, ids.next(), bookingJob())
        val netCheck = system.submit(second, ids.next(), netCheckJob())
        return listOf(booking.join(), netCheck.join()).map(::printReply).all { it }
    }

    private fun bookingJob(): JobRequest {
        val operations = listOf("check-slot", "reserve-crew", "confirm-pickup")
        val tasks =
            operations.map { operation ->
                val payload =
                    buildJsonObject {
                        put("household", "Rainbow Street 14")
                        put("runMillis", BOOKING_RUN_MILLIS)
                    }
                JobTask(operation, idempotent = operation == "check-slot", payload = payload)
            }
        return JobRequest("haddad", BOOKING, DEADLINE_MILLIS, tasks)
    }

    private fun netCheckJob(): JobRequest {
        val tasks =
            (1..PHOTOS).map { photo ->
                val payload =
                    buildJsonObject {
                        put("photo", "panel-$photo.jpg")
                        put("runMillis", TEAR_CHECK_RUN_MILLIS)
                    }
                JobTask("tear-check", idempotent = true, payload = payload)
            }
        return JobRequest("reti-etnee", NET_CHECK, DEADLINE_MILLIS, tasks)
    }

    private fun printReply(reply: JobReply): Boolean {
        when (reply) {
            is JobReply.Complete -> {
                println("Job ${reply.job} is complete:")
                reply.answers.forEach { println("  $it") }
            }
            is JobReply.Refused -> println("Refused with status ${reply.status}: ${reply.problem}")
            is JobReply.Lost -> println("No answer: ${reply.cause}")
            is JobReply.Unreachable -> println("No connection: ${reply.cause}")
        }
        return reply is JobReply.Complete
    }

    private fun stop(system: TestSystem): Boolean {
        println("Stopping all processes gracefully.")
        val codes = system.stopGracefully()
        codes.filterValues { it != 0 }.forEach { (name, code) -> println("$name ended with exit code $code.") }
        return codes.values.all { it == 0 }
    }
}
