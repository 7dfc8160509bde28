package io.egretlock.core.settings

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class TeamSettingsBuilderTest {
    private val booking = ServiceName("beatday-booking")

    @Test
    fun `given a service without values, when built, then it has the defaults`() {
        val expected = TeamSettings(team = TeamName("haddad"), services = listOf(ServiceSettings(booking)))
        assertEquals(expected, teamSettings("haddad") { service("beatday-booking") })
    }

    @Test
    fun `given a closed operation, when built, then only that operation is closed`() {
        val settings =
            teamSettings("haddad") {
                service("beatday-booking")
                closedOperation("beatday-booking", "reserve-crew")
            }
        assertEquals(true, settings.isClosed(booking, OperationName("reserve-crew")))
        assertEquals(false, settings.isClosed(booking, OperationName("check-slot")))
    }

    @Test
    fun `given invalid values, when built, then one exception has all faults`() {
        val failure =
            assertThrows(InvalidSettingsException::class.java) {
                teamSettings("Haddad & Sons") {
                    weight = 0.0
                    service("beatday-booking") { longShare = Double.NaN }
                }
            }
        assertEquals(
            "team: 'Haddad & Sons' is not allowed; allowed: 1 to 64 letters, digits, '.', '-' or '_'.\n" +
                "weight: '0.0' is not allowed; allowed: a number from 0.001 to 1000.0.\n" +
                "services[0].longShare: 'NaN' is not allowed; allowed: a number from 0.0 to 1.0.",
            failure.message,
        )
    }
}
