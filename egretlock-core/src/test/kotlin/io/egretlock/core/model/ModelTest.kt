package io.egretlock.core.model

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource

class ModelTest {
    private val checker = ModelChecker()

    @ParameterizedTest
    @EnumSource(Model::class)
    fun `given all safeguards, when the state space is checked exhaustively, then every invariant holds`(model: Model) {
        val output = checker.check(model)
        assertTrue("No error has been found" in output, output)
    }

    @ParameterizedTest
    @CsvSource(
        "CLAIM, CheckHorizon, FALSE, SettledOnce",
        "CLAIM, CheckGain, FALSE, SettledOnce",
        "CLAIM, Margin, 0, SettledOnce",
        "BOOTSTRAP, HoldPromises, FALSE, SettledOnce",
        "BOOTSTRAP, DistrustReadBack, FALSE, SettledOnce",
        "BOOTSTRAP, HoldBootstrap, FALSE, SettledOnce",
        "HANDOVER, OneHeir, FALSE, SettledOnce",
        "REFUSAL, OneHeir, FALSE, SettledOnce",
        "REFUSAL, FinalRefusal, FALSE, SettledOnce",
        "TASK_GATE, TombstoneOnRevoke, FALSE, StartedOnce",
        "TASK_GATE, TombstoneOnRevoke, FALSE, NotRunIsTrue",
        "TASK_GATE, RecordBeforeCall, FALSE, StartedOnce",
        "TASK_GATE, KeepAfterAcknowledge, FALSE, StartedOnce",
        "TASK_GATE, FailOnLostAgent, FALSE, StartedOnce",
        "TASK_GATE, MatchAnswers, FALSE, AnswerIsWhole",
        "RUN_LEASE, StopRunsOfLostHome, FALSE, OneRunAtATime",
        "RUN_LEASE, WaitForLostAgent, FALSE, OneRunAtATime",
        "RUN_LEASE, ClearBeforeReport, FALSE, OneRunAtATime",
        "RUN_LEASE, RaiseToken, FALSE, OneRunAtATime",
        "RUN_LEASE, DeadlineFromAnswer, FALSE, OneRunAtATime",
        "RUN_LEASE, ConfirmStop, FALSE, OneRunAtATime",
        "UPSTREAM_RESTART, PendingStartNotOver, FALSE, OneRunAtATime",
        "UPSTREAM_RESTART, RaiseTokenOnRestart, FALSE, OneRunAtATime",
        "JOB_OWNERSHIP, ConfirmOldJobs, FALSE, OneRunAtATime",
        "JOB_OWNERSHIP, KeepPromises, FALSE, OneRunAtATime",
        "JOB_OWNERSHIP, DoubtAfterPause, FALSE, OneRunAtATime",
        "JOB_OWNERSHIP, AwaitRunsEnded, FALSE, OneRunAtATime",
    )
    fun `given a disabled safeguard, when checked, then the invariant is violated`(
        model: Model,
        safeguard: String,
        value: String,
        invariant: String,
    ) {
        val output = checker.check(model, overrides = mapOf(safeguard to value), invariants = invariant)
        assertTrue("Invariant $invariant is violated" in output, output)
    }

    /** These safeguards matter only if an entry pauses, is cut off or restarts while it has the job. */
    @ParameterizedTest
    @ValueSource(strings = ["LimitRuns", "DoubtNewEntries"])
    fun `given a fault and a disabled safeguard of the ownership of jobs, when checked, then two runs overlap`(
        safeguard: String,
    ) {
        val output = checker.check(Model.JOB_OWNERSHIP, overrides = mapOf("MaxFaults" to "1", safeguard to "FALSE"))
        assertTrue("Invariant OneRunAtATime is violated" in output, output)
    }

    /** Shows that the two checks before a start is sent are not what keeps runs apart in the model. */
    @Test
    fun `given starts that are sent unchecked, when checked, then no two runs overlap`() {
        val unchecked = mapOf("StartInOwnIncarnation" to "FALSE", "StartOnlyIfRecorded" to "FALSE")
        val output = checker.check(Model.UPSTREAM_RESTART, overrides = unchecked)
        assertTrue("No error has been found" in output, output)
    }

    /** Shows that the safeguards don't suffice alone: this is a limit of the design, see docs/PLATFORM-DESIGN.md. */
    @Test
    fun `given late starts that arrive before the raised token, when checked, then two runs overlap`() {
        val output = checker.check(Model.UPSTREAM_RESTART, overrides = mapOf("FenceBeforeLateStarts" to "FALSE"))
        assertTrue("Invariant OneRunAtATime is violated" in output, output)
    }
}
