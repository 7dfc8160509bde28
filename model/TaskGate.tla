------------------------------ MODULE TaskGate ------------------------------
(***************************************************************************)
(* One job of several tasks between its home entry and two agents.         *)
(*                                                                         *)
(* A message that was sent stays in the network, so that it may be         *)
(* received late, out of order, repeatedly or never. An agent that crashes *)
(* loses its memory. Its incarnation ends then, and messages addressed to  *)
(* that incarnation are lost. A pause is a step that happens late.         *)
(***************************************************************************)
EXTENDS Integers, FiniteSets

CONSTANTS
    Tasks,             \* tasks of the job
    Agents,            \* agent incarnations
    MaxAttempts,       \* largest number of placements of one task
    TombstoneOnRevoke, \* safeguards, from here on; FALSE disables one
    RecordBeforeCall,
    KeepAfterAcknowledge,
    FailOnLostAgent,
    MatchAnswers

VARIABLES
    network,   \* all messages sent so far
    alive,     \* agent -> whether it runs
    recorded,  \* agent -> tasks and attempts that must not start (again)
    calling,   \* agent -> attempts of which only one of record and call is done, whichever comes first
    finished,  \* agent -> tasks whose answer is kept until it is acknowledged
    placedOn,  \* task -> agent of the attempt that is not settled; 0 if there is none
    attempts,  \* task -> number of placements so far
    answers,   \* task -> task to which the stored answer belongs, or "none"
    received,  \* number of answers received
    outcome,   \* "open", "complete", "not-run", "may-have-run"
    starts     \* task -> calls to an upstream

vars == <<network, alive, recorded, calling, finished, placedOn, attempts, answers, received, outcome, starts>>

Start(t, n, a) == [kind |-> "start", task |-> t, attempt |-> n, agent |-> a]
Revoke(t, n, a) == [kind |-> "revoke", task |-> t, attempt |-> n, agent |-> a]
Revoked(t, n, a) == [kind |-> "revoked", task |-> t, attempt |-> n, agent |-> a]
Started(t, n, a) == [kind |-> "started", task |-> t, attempt |-> n, agent |-> a]
Finished(t, a) == [kind |-> "finished", task |-> t, attempt |-> 0, agent |-> a]
Acknowledge(t, a) == [kind |-> "acknowledge", task |-> t, attempt |-> 0, agent |-> a]

Place(t, a) ==
    /\ outcome = "open" /\ placedOn[t] = 0 /\ attempts[t] < MaxAttempts /\ answers[t] = "none"
    /\ placedOn' = [placedOn EXCEPT ![t] = a]
    /\ attempts' = [attempts EXCEPT ![t] = @ + 1]
    /\ network' = network \union {Start(t, attempts[t] + 1, a)}
    /\ UNCHANGED <<alive, recorded, calling, finished, answers, received, outcome, starts>>

\* The agent accepts the start of an attempt, and only once.
ReceiveStart(t, n, a) ==
    /\ Start(t, n, a) \in network /\ alive[a]
    /\ <<t, n>> \notin recorded[a] /\ <<t, n>> \notin calling[a]
    /\ calling' = [calling EXCEPT ![a] = @ \union {<<t, n>>}]
    /\ recorded' = IF RecordBeforeCall THEN [recorded EXCEPT ![a] = @ \union {<<t, n>>}] ELSE recorded
    /\ starts' = IF RecordBeforeCall THEN starts ELSE [starts EXCEPT ![t] = @ + 1]
    /\ UNCHANGED <<network, alive, finished, placedOn, attempts, answers, received, outcome>>

\* The second half of a start: the call or, without RecordBeforeCall, the record. In the latter case the record may be
\* missing, as the call may end in an error.
Call(t, n, a) ==
    /\ <<t, n>> \in calling[a] /\ alive[a]
    /\ calling' = [calling EXCEPT ![a] = @ \ {<<t, n>>}]
    /\ IF RecordBeforeCall
       THEN /\ starts' = [starts EXCEPT ![t] = @ + 1]
            /\ finished' = [finished EXCEPT ![a] = @ \union {t}]
            /\ recorded' = recorded
       ELSE /\ starts' = starts
            /\ \/ /\ recorded' = [recorded EXCEPT ![a] = @ \union {<<t, n>>}]
                  /\ finished' = [finished EXCEPT ![a] = @ \union {t}]
               \/ UNCHANGED <<recorded, finished>>
    /\ UNCHANGED <<network, alive, placedOn, attempts, answers, received, outcome>>

SendFinished(t, a) ==
    /\ alive[a] /\ t \in finished[a]
    /\ network' = network \union {Finished(t, a)}
    /\ UNCHANGED <<alive, recorded, calling, finished, placedOn, attempts, answers, received, outcome, starts>>

\* The entry doubts the attempt, or the job is cancelled or past its deadline.
SendRevoke(t) ==
    /\ placedOn[t] # 0
    /\ network' = network \union {Revoke(t, attempts[t], placedOn[t])}
    /\ UNCHANGED <<alive, recorded, calling, finished, placedOn, attempts, answers, received, outcome, starts>>

ReceiveRevoke(t, n, a) ==
    /\ Revoke(t, n, a) \in network /\ alive[a]
    /\ IF <<t, n>> \in recorded[a] /\ Revoked(t, n, a) \notin network
       THEN /\ network' = network \union {Started(t, n, a)}
            /\ recorded' = recorded
       ELSE /\ network' = network \union {Revoked(t, n, a)}
            /\ recorded' = IF TombstoneOnRevoke THEN [recorded EXCEPT ![a] = @ \union {<<t, n>>}] ELSE recorded
    /\ UNCHANGED <<alive, calling, finished, placedOn, attempts, answers, received, outcome, starts>>

ReceiveRevoked(t, n, a) ==
    /\ Revoked(t, n, a) \in network /\ placedOn[t] = a /\ attempts[t] = n
    /\ placedOn' = [placedOn EXCEPT ![t] = 0]
    /\ UNCHANGED <<network, alive, recorded, calling, finished, attempts, answers, received, outcome, starts>>

Complete(stored, count) ==
    IF MatchAnswers THEN \A t \in Tasks : stored[t] # "none" ELSE count = Cardinality(Tasks)

\* An answer is stored under the identity of its task, and only once.
ReceiveFinished(t, a) ==
    /\ Finished(t, a) \in network /\ outcome = "open"
    /\ IF MatchAnswers
       THEN /\ answers' = [answers EXCEPT ![t] = t]
            /\ received' = received
       ELSE /\ answers' = IF answers[t] = "none" THEN [answers EXCEPT ![t] = t] ELSE answers
            /\ received' = received + 1
    /\ outcome' = IF Complete(answers', received') THEN "complete" ELSE "open"
    /\ placedOn' = [placedOn EXCEPT ![t] = 0]
    /\ network' = network \union {Acknowledge(t, a)}
    /\ UNCHANGED <<alive, recorded, calling, finished, attempts, starts>>

ReceiveAcknowledge(t, a) ==
    /\ Acknowledge(t, a) \in network /\ alive[a] /\ t \in finished[a]
    /\ finished' = [finished EXCEPT ![a] = @ \ {t}]
    /\ recorded' = IF KeepAfterAcknowledge THEN recorded
                   ELSE [recorded EXCEPT ![a] = {pair \in @ : pair[1] # t}]
    /\ UNCHANGED <<network, alive, calling, placedOn, attempts, answers, received, outcome, starts>>

Crash(a) ==
    /\ alive[a]
    /\ alive' = [alive EXCEPT ![a] = FALSE]
    /\ calling' = [calling EXCEPT ![a] = {}]
    /\ finished' = [finished EXCEPT ![a] = {}]
    /\ UNCHANGED <<network, recorded, placedOn, attempts, answers, received, outcome, starts>>

\* The entry learns that an agent has ended while a placement there is not settled.
LoseAgent(t) ==
    /\ placedOn[t] # 0 /\ ~alive[placedOn[t]] /\ outcome = "open"
    /\ IF FailOnLostAgent
       THEN /\ outcome' = "may-have-run"
            /\ placedOn' = placedOn
       ELSE /\ outcome' = outcome
            /\ placedOn' = [placedOn EXCEPT ![t] = 0]
    /\ UNCHANGED <<network, alive, recorded, calling, finished, attempts, answers, received, starts>>

\* The job is cancelled or past its deadline. It is not run only if every attempt is settled and no task has an answer.
End ==
    /\ outcome = "open"
    /\ outcome' = IF \A t \in Tasks : placedOn[t] = 0 /\ answers[t] = "none" THEN "not-run" ELSE "may-have-run"
    /\ UNCHANGED <<network, alive, recorded, calling, finished, placedOn, attempts, answers, received, starts>>

Init ==
    /\ network = {}
    /\ alive = [a \in Agents |-> TRUE]
    /\ recorded = [a \in Agents |-> {}]
    /\ calling = [a \in Agents |-> {}]
    /\ finished = [a \in Agents |-> {}]
    /\ placedOn = [t \in Tasks |-> 0]
    /\ attempts = [t \in Tasks |-> 0]
    /\ answers = [t \in Tasks |-> "none"]
    /\ received = 0
    /\ outcome = "open"
    /\ starts = [t \in Tasks |-> 0]

Next ==
    \/ End
    \/ \E t \in Tasks : SendRevoke(t) \/ LoseAgent(t)
    \/ \E a \in Agents : Crash(a)
    \/ \E t \in Tasks, a \in Agents :
        Place(t, a) \/ SendFinished(t, a) \/ ReceiveFinished(t, a) \/ ReceiveAcknowledge(t, a)
    \/ \E t \in Tasks, a \in Agents, n \in 1..MaxAttempts :
        ReceiveStart(t, n, a) \/ Call(t, n, a) \/ ReceiveRevoke(t, n, a) \/ ReceiveRevoked(t, n, a)

Spec == Init /\ [][Next]_vars

StartedOnce == \A t \in Tasks : starts[t] <= 1
NotRunIsTrue == outcome = "not-run" => \A t \in Tasks : starts[t] = 0
AnswerIsWhole == outcome = "complete" => \A t \in Tasks : answers[t] = t
=============================================================================
