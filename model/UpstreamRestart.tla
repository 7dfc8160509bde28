--------------------------- MODULE UpstreamRestart ---------------------------
(***************************************************************************)
(* One task, one home, and upstreams that end and start again in a new     *)
(* incarnation, each with its own agent. Neither the time nor the number   *)
(* of ends and silences is bounded: there are only ages, in ticks of a     *)
(* third of a second, up to the largest that any rule compares.            *)
(*                                                                         *)
(* A placement is one run of the task. Its agent records it; its start     *)
(* waits for a connection, is then in flight while the call is open (less  *)
(* than a tick), and may arrive at any time after the call has ended.      *)
(*                                                                         *)
(* The clock of an incarnation begins anew, so a deadline of an earlier    *)
(* one voids nothing there; the lease is then the longest that upstreams   *)
(* grant. An incarnation remembers its stops and the highest fencing token *)
(* only until it ends.                                                     *)
(*                                                                         *)
(* An upstream that is silent or down does not act. A run may end at any   *)
(* time, so the end of an upstream and its next start are one step.        *)
(***************************************************************************)
EXTENDS Integers, FiniteSets

CONSTANTS
    Upstreams,
    Placements,            \* identities of runs
    Lease,                 \* longest lease of an upstream
    FenceBeforeLateStarts, \* assumption: a start whose call has ended reaches no new incarnation before the agent's
                           \* first call that knows of that incarnation
    PendingStartNotOver,   \* safeguards, from here on; FALSE disables one
    StartInOwnIncarnation,
    StartOnlyIfRecorded,
    RaiseTokenOnRestart

VARIABLES
    knows,      \* upstream -> whether its agent knows the present incarnation
    quiet,      \* upstream -> age of its last answer to its agent
    called,     \* upstream -> whether its incarnation got a call of an agent that knew of it
    order,      \* placement -> "unused", "waiting", "flight", "late" or "gone"
    record,     \* placement -> "none", "open" (call not ended), "refused", "started", "stopping" or "stopped"
    on,         \* placement -> upstream
    isOwn,      \* placement -> whether the present incarnation is the one that it was accepted for
    isKnown,    \* placement -> whether the incarnation that its agent knows is the one that it was accepted for
    lease,      \* placement -> time until its start is refused, then time until its first lease ends
    callAge,    \* placement -> time since its start call ended
    isStopped,  \* placement -> whether the present incarnation has acknowledged its stop
    active,     \* placement -> whether it is at work
    settled     \* placement -> whether its home has been told that it is over

vars == <<knows, quiet, called, order, record, on, isOwn, isKnown, lease, callAge, isStopped, active, settled>>

Nowhere == 0
Least(a, b) == IF a < b THEN a ELSE b
Less(age) == IF age = 0 THEN 0 ELSE age - 1

Init ==
    /\ knows = [u \in Upstreams |-> TRUE]
    /\ quiet = [u \in Upstreams |-> 0]
    /\ called = [u \in Upstreams |-> TRUE]
    /\ order = [p \in Placements |-> "unused"]
    /\ record = [p \in Placements |-> "none"]
    /\ on = [p \in Placements |-> Nowhere]
    /\ isOwn = [p \in Placements |-> FALSE]
    /\ isKnown = isOwn
    /\ lease = [p \in Placements |-> 0]
    /\ callAge = [p \in Placements |-> 0]
    /\ isStopped = isOwn
    /\ active = isOwn
    /\ settled = isOwn

\* The agent accepts however long its upstream has been silent.
Place(u, p) ==
    /\ order[p] = "unused"
    /\ \A q \in Placements : q < p => settled[q]
    /\ order' = [order EXCEPT ![p] = "waiting"]
    /\ record' = [record EXCEPT ![p] = "open"]
    /\ on' = [on EXCEPT ![p] = u]
    /\ isOwn' = [isOwn EXCEPT ![p] = knows[u]]
    /\ isKnown' = [isKnown EXCEPT ![p] = TRUE]
    /\ lease' = [lease EXCEPT ![p] = IF quiet[u] > Lease THEN 0 ELSE Lease - quiet[u]]
    /\ UNCHANGED <<knows, quiet, called, callAge, isStopped, active, settled>>

IsDue(p) ==
    /\ StartInOwnIncarnation => isKnown[p] /\ quiet[on[p]] <= Lease
    /\ StartOnlyIfRecorded => record[p] # "none"

Send(p) ==
    /\ order[p] = "waiting" /\ IsDue(p)
    /\ order' = [order EXCEPT ![p] = "flight"]
    /\ UNCHANGED <<knows, quiet, called, record, on, isOwn, isKnown, lease, callAge, isStopped, active, settled>>

\* The agent takes the run for over, tells the home and forgets it.
Settle(p) ==
    /\ record' = [record EXCEPT ![p] = "none"]
    /\ settled' = [settled EXCEPT ![p] = TRUE]

DoNotSend(p) ==
    /\ order[p] = "waiting" /\ ~IsDue(p)
    /\ order' = [order EXCEPT ![p] = "gone"]
    /\ Settle(p)
    /\ UNCHANGED <<knows, quiet, called, on, isOwn, isKnown, lease, callAge, isStopped, active>>

IsInTime(p) == isOwn[p] => lease[p] > 0
IsFenced(p) == RaiseTokenOnRestart /\ ~isOwn[p] /\ called[on[p]]
IsCarriedOut(p) == IsInTime(p) /\ ~IsFenced(p) /\ ~isStopped[p]

Arrive(p) ==
    /\ order[p] \in {"flight", "late"}
    /\ FenceBeforeLateStarts /\ order[p] = "late" => isOwn[p] \/ called[on[p]]
    /\ order' = [order EXCEPT ![p] = "gone"]
    /\ active' = [active EXCEPT ![p] = IsCarriedOut(p)]
    /\ lease' = [lease EXCEPT ![p] = IF isOwn[p] THEN @ ELSE Lease]
    /\ record' = [record EXCEPT ![p] = IF @ = "open" /\ ~IsCarriedOut(p) THEN "refused" ELSE @]
    /\ called' = [called EXCEPT ![on[p]] = @ \/ isOwn[p]]
    /\ UNCHANGED <<knows, quiet, on, isOwn, isKnown, callAge, isStopped, settled>>

\* The answer to the start reaches the agent.
StartAnswered(p) ==
    /\ order[p] = "gone"
    /\ \/ /\ record[p] = "open"
          /\ record' = [record EXCEPT ![p] = "started"]
          /\ UNCHANGED settled
       \/ record[p] = "refused" /\ Settle(p)
    /\ callAge' = [callAge EXCEPT ![p] = 0]
    /\ UNCHANGED <<knows, quiet, called, order, on, isOwn, isKnown, lease, isStopped, active>>

IsCallOpen(p) == order[p] = "flight" \/ (order[p] = "gone" /\ record[p] \in {"open", "refused"})

\* No answer reaches the agent, which asks the upstream to stop the run. The start may still arrive.
CallFails(p) ==
    /\ IsCallOpen(p)
    /\ order' = [order EXCEPT ![p] = IF @ = "flight" THEN "late" ELSE @]
    /\ record' = [record EXCEPT ![p] = IF @ \in {"open", "refused"} THEN "stopping" ELSE @]
    /\ callAge' = [callAge EXCEPT ![p] = 0]
    /\ UNCHANGED <<knows, quiet, called, on, isOwn, isKnown, lease, isStopped, active, settled>>

StopAcknowledged(p) ==
    /\ record[p] = "stopping"
    /\ record' = [record EXCEPT ![p] = "stopped"]
    /\ isStopped' = [isStopped EXCEPT ![p] = TRUE]
    /\ active' = [active EXCEPT ![p] = FALSE]
    /\ called' = [called EXCEPT ![on[p]] = @ \/ knows[on[p]]]
    /\ UNCHANGED <<knows, quiet, order, on, isOwn, isKnown, lease, callAge, settled>>

\* A run is over that was at work, or whose stop was acknowledged, and that a later list does not show.
IsOverByList(u, p) == on[p] = u /\ ~active[p] /\ record[p] \in {"started", "stopped"}

\* The upstream answers a renewal, with its incarnation and the list of its runs.
Answer(u) ==
    /\ quiet' = [quiet EXCEPT ![u] = 0]
    /\ knows' = [knows EXCEPT ![u] = TRUE]
    /\ called' = [called EXCEPT ![u] = @ \/ knows[u]]
    /\ isKnown' = [p \in Placements |-> IF on[p] = u THEN isOwn[p] ELSE isKnown[p]]
    /\ record' = [p \in Placements |->
                     IF IsOverByList(u, p) THEN "none"
                     ELSE IF on[p] = u /\ active[p] /\ record[p] = "open" THEN "started"
                     ELSE record[p]]
    /\ settled' = [p \in Placements |-> settled[p] \/ IsOverByList(u, p)]
    /\ UNCHANGED <<order, on, isOwn, lease, callAge, isStopped, active>>

\* A renewal has no answer, and the agent takes the run for over, as its lease must have ended.
ReportLost(p) ==
    /\ record[p] # "none" /\ quiet[on[p]] >= Lease
    /\ PendingStartNotOver => record[p] \notin {"open", "refused"} /\ callAge[p] >= Lease
    /\ Settle(p)
    /\ UNCHANGED <<knows, quiet, called, order, on, isOwn, isKnown, lease, callAge, isStopped, active>>

RunEnds(p) ==
    /\ active[p]
    /\ active' = [active EXCEPT ![p] = FALSE]
    /\ UNCHANGED <<knows, quiet, called, order, record, on, isOwn, isKnown, lease, callAge, isStopped, settled>>

Restart(u) ==
    /\ knows' = [knows EXCEPT ![u] = FALSE]
    /\ called' = [called EXCEPT ![u] = FALSE]
    /\ isOwn' = [p \in Placements |-> isOwn[p] /\ on[p] # u]
    /\ isStopped' = [p \in Placements |-> isStopped[p] /\ on[p] # u]
    /\ active' = [p \in Placements |-> active[p] /\ on[p] # u]
    /\ UNCHANGED <<quiet, order, record, on, isKnown, lease, callAge, settled>>

\* Renewals lengthen the leases of all runs of the incarnation that the agent knows.
IsRenewed(u) == knows[u] /\ quiet[u] + 1 < Lease

\* Calls last less than a tick.
Tick ==
    /\ \A p \in Placements : ~IsCallOpen(p)
    /\ quiet' = [u \in Upstreams |-> Least(quiet[u] + 1, Lease + 1)]
    /\ lease' = [p \in Placements |-> Less(lease[p])]
    /\ callAge' = [p \in Placements |-> Least(callAge[p] + 1, Lease)]
    /\ active' = [p \in Placements |-> active[p] /\ (lease[p] > 1 \/ IsRenewed(on[p]))]
    /\ UNCHANGED <<knows, called, order, record, on, isOwn, isKnown, isStopped, settled>>

Next ==
    \/ Tick
    \/ \E u \in Upstreams : Answer(u) \/ Restart(u) \/ \E p \in Placements : Place(u, p)
    \/ \E p \in Placements :
        \/ Send(p) \/ DoNotSend(p) \/ Arrive(p) \/ StartAnswered(p) \/ CallFails(p) \/ StopAcknowledged(p)
        \/ ReportLost(p) \/ RunEnds(p)

Spec == Init /\ [][Next]_vars

\* A state without the values that no later step reads.
IsOrderOpen(p) == order[p] \in {"waiting", "flight", "late"}
IsOver(p) == ~IsOrderOpen(p) /\ ~active[p] /\ record[p] = "none"
Read(p) ==
    <<order[p], record[p], active[p], settled[p],
      IF IsOver(p) THEN Nowhere ELSE on[p],
      IsOrderOpen(p) /\ isOwn[p],
      order[p] = "waiting" /\ isKnown[p],
      IF active[p] \/ (IsOrderOpen(p) /\ isOwn[p]) THEN lease[p] ELSE 0,
      IF record[p] \in {"started", "stopping", "stopped"} THEN callAge[p] ELSE 0,
      IsOrderOpen(p) /\ isStopped[p]>>
View == <<knows, quiet, called, [p \in Placements |-> Read(p)]>>

OneRunAtATime == Cardinality({p \in Placements : active[p]}) <= 1
=============================================================================
