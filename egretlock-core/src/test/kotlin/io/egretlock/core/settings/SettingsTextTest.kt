package io.egretlock.core.settings

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import io.egretlock.core.job.TeamName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SettingsTextTest {
    private val team = TeamName("haddad")
    private val settings =
        teamSettings("haddad") {
            weight = 2.5
            service("beatday-booking") {
                concurrency = 88
                longestDeadlineMillis = 5_000
                guards = false
            }
            closedOperation("beatday-booking", "reserve-crew")
        }

    @Test
    fun `given settings, when written and read back in each format, then they are the same`() {
        assertEquals(Ok(settings), SettingsText.read(SettingsText.toYaml(settings), SettingsFormat.YAML, team))
        assertEquals(Ok(settings), SettingsText.read(SettingsText.toJson(settings), SettingsFormat.JSON, team))
    }

    @Test
    fun `given JSON with tabs between tokens, when read, then it is accepted`() {
        val json = "{\n\t\"team\":\t\"haddad\"\n}"
        assertEquals(Ok(TeamSettings(team)), SettingsText.read(json, SettingsFormat.JSON, team))
    }

    @Test
    fun `given several faults, when read, then each is reported with path, value, allowed and location`() {
        val yaml =
            """
            team: haddad
            colour: red
            weight: heavy
            services:
              - name: beatday-booking
                concurrency: 0
                longestDeadlineMillis: 5s
                longShare: 1.5
                largestJob: 20
                longestQueue: 10
              - concurency: 3
              - name: beatday-booking
            closedOperations:
              - service: net-check
                operation: tear-check
            """.trimIndent()
        val service = "name, concurrency, longestQueue, longestDeadlineMillis, largestJob, longShare, guards"
        assertEquals(
            listOf(
                "weight: 'heavy' is not allowed; allowed: a number (line 3, column 9).",
                "services[0].longestDeadlineMillis: '5s' is not allowed; " +
                    "allowed: a whole number of milliseconds, without a unit (line 7, column 28).",
                "services[1].name: missing is not allowed; allowed: 1 to 64 letters, digits, '.', '-' or '_' " +
                    "(line 11, column 5).",
                "services[1].concurency: 'concurency' is not allowed; " +
                    "allowed: a known key: $service (line 11, column 5).",
                "colour: 'colour' is not allowed; " +
                    "allowed: a known key: team, weight, services, closedOperations (line 2, column 1).",
                "services[0].concurrency: '0' is not allowed; " +
                    "allowed: a whole number from 1 to 1000000 (line 6, column 18).",
                "services[0].longShare: '1.5' is not allowed; allowed: a number from 0.0 to 1.0 (line 8, column 16).",
                "services[0].largestJob: '20' is not allowed; " +
                    "allowed: at most longestQueue, which is 10 (line 9, column 17).",
                "services[2].name: 'beatday-booking' is not allowed; " +
                    "allowed: a name other than that of services[0] (line 12, column 11).",
                "closedOperations[0].service: 'net-check' is not allowed; " +
                    "allowed: the name of one of the services (line 14, column 14).",
            ),
            faultsOf(yaml, SettingsFormat.YAML),
        )
    }

    @Test
    fun `given another team's settings, when read, then the team is refused`() {
        assertEquals(
            listOf(
                "team: 'reti-etnee' is not allowed; " +
                    "allowed: 'haddad', the team whose settings are edited (line 1, column 7).",
            ),
            faultsOf("team: reti-etnee", SettingsFormat.YAML),
        )
    }

    @Test
    fun `given a value of another type, when read, then the fault names the type found`() {
        assertEquals(
            listOf(
                "services: 'a mapping' is not allowed; allowed: a list (line 1, column 29).",
                "closedOperations: 'null' is not allowed; allowed: a list (line 1, column 52).",
            ),
            faultsOf("""{"team":"haddad","services":{},"closedOperations": null}""", SettingsFormat.JSON),
        )
    }

    @Test
    fun `given numbers and booleans in quotes, when read, then each is refused with its path`() {
        val json = """{"team":"haddad","weight":"2","services":[{"name":"s","concurrency":"5","guards":"true"}]}"""
        val expected =
            listOf(
                "weight: '\"2\"' is not allowed; allowed: a number (line 1, column 27).",
                "services[0].concurrency: '\"5\"' is not allowed; allowed: a whole number (line 1, column 69).",
                "services[0].guards: '\"true\"' is not allowed; allowed: true or false (line 1, column 82).",
            )
        assertEquals(expected, faultsOf(json, SettingsFormat.JSON))
        assertEquals(listOf("weight"), pathsOf("team: haddad\nweight: '2'"))
        assertEquals(listOf("weight"), pathsOf("team: haddad\nweight: |-\n  2"))
    }

    @Test
    fun `given unknown keys inside nested objects, when read, then each is refused with its path`() {
        val yaml =
            """
            team: haddad
            services:
              - name: s
                retry: {times: 2}
            closedOperations:
              - {service: s, operation: reserve, until: 5}
            """.trimIndent()
        assertEquals(listOf("services[0].retry", "closedOperations[0].until"), pathsOf(yaml))
    }

    @Test
    fun `given a repeated key, when read, then it is refused`() {
        val faults = SettingsText.read("team: haddad\nteam: haddad", SettingsFormat.YAML, team).getError().orEmpty()
        assertEquals(listOf("well-formed YAML"), faults.map { it.allowed })
        assertEquals(2, faults.single().location?.line)
    }

    @Test
    fun `given malformed text, when read, then one fault reports it`() {
        val json = SettingsText.read("{\"team\": ", SettingsFormat.JSON, team).getError().orEmpty()
        val yaml = SettingsText.read("team: [", SettingsFormat.YAML, team).getError().orEmpty()
        val empty = SettingsText.read("", SettingsFormat.YAML, team).getError().orEmpty()
        assertEquals(
            listOf("well-formed JSON", "well-formed YAML", "well-formed YAML"),
            (json + yaml + empty).map { it.allowed },
        )
    }

    private fun pathsOf(yaml: String): List<String> =
        SettingsText
            .read(yaml, SettingsFormat.YAML, team)
            .getError()
            .orEmpty()
            .map { it.path }

    private fun faultsOf(
        text: String,
        format: SettingsFormat,
    ): List<String> =
        SettingsText
            .read(text, format, team)
            .getError()
            .orEmpty()
            .map { it.toString() }
}
