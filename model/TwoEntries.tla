------------------------------ MODULE TwoEntries ------------------------------
(***************************************************************************)
(* Not built: ways to keep the runs of a job apart that two living entries *)
(* hold (docs/PLATFORM-DESIGN.md, "Ways weighed").                         *)
(*                                                                         *)
(* Entry 1 gets a job of one task and does not notice that its caller's    *)
(* channel breaks. The caller repeats the job at entry 2. Only ages count, *)
(* in ticks of a third of a second; a stop takes less than a tick. Entry 2 *)
(* may restart before it gets the job. Its connection to entry 1 may be    *)
(* cut at any time: then no message arrives. No agent or upstream fails,   *)
(* and no process pauses.                                                  *)
(***************************************************************************)
EXTENDS Integers, FiniteSets

CONSTANTS
    Upstreams,
    Placements,             \* identities of runs
    Repeat,                 \* time from the break to the submission at entry 2
    AnnounceAfter,          \* age from which on entry 1 tells entry 2 of its open job
    AcknowledgeWithin,      \* time without an acknowledgement after which entry 1 ends the job
    TellRefusalOnceOver,    \* a refusal because of another run is told once that run is over
    EndUnacknowledged,      \* entry 1 ends a job that entry 2 has never acknowledged in time
    RenewAcknowledgement,   \* the same for the last acknowledgement, again and again
    WaitForHolder,          \* entry 2 places no run of a job that it has acknowledged while entry 1 may hold it
    HoldAfterStart          \* entry 2 places no run until acknowledgements of its earlier process have lapsed

VARIABLES
    age,          \* age of the job at entry 1
    breakAge,     \* time since the break, or -1
    holds,        \* whether entry 1 holds the job
    submitted,    \* whether entry 2 holds the job
    hasPromise,   \* whether entry 1 has an acknowledgement
    promiseAge,   \* age of the last acknowledgement, or of the job if there is none
    knows,        \* whether entry 2 has acknowledged the job in its present process and was not told that it is over
    knowsAge,     \* time since then
    startAge,     \* time since entry 2 started
    stage,        \* placement -> "unused", "active", "stopping", "refused" (not told yet) or "over" (told to its entry)
    homeOf,
    on

vars == <<age, breakAge, holds, submitted, hasPromise, promiseAge, knows, knowsAge, startAge, stage, homeOf, on>>
entryVars == <<age, breakAge, holds, submitted, hasPromise, promiseAge, knows, knowsAge, startAge>>

Longest == Repeat + 1
Older(value) == IF value < 0 THEN value ELSE IF value < Longest THEN value + 1 ELSE Longest
AtWork(p) == stage[p] \in {"active", "stopping"}

Init ==
    /\ age = 0 /\ breakAge = -1 /\ holds = TRUE /\ submitted = FALSE
    /\ hasPromise = FALSE /\ promiseAge = 0 /\ knows = FALSE /\ knowsAge = 0 /\ startAge = Longest
    /\ stage = [p \in Placements |-> "unused"]
    /\ homeOf = [p \in Placements |-> 1]
    /\ on = [p \in Placements |-> CHOOSE u \in Upstreams : TRUE]

MayPlace(e) ==
    IF e = 1 THEN holds
    ELSE /\ submitted
         /\ WaitForHolder => ~knows \/ (RenewAcknowledgement /\ knowsAge > AcknowledgeWithin)
         /\ HoldAfterStart => startAge > AcknowledgeWithin

\* An agent that has another run of the task on record refuses, and stops that run.
Place(e, u, p) ==
    LET others == {q \in Placements : on[q] = u /\ AtWork(q)} IN
    /\ stage[p] = "unused" /\ MayPlace(e)
    /\ \A q \in Placements : q < p => stage[q] # "unused"
    /\ \A q \in Placements : homeOf[q] = e => stage[q] \in {"unused", "over"}
    /\ stage' = [q \in Placements |->
                    IF q = p THEN (IF others = {} THEN "active" ELSE IF TellRefusalOnceOver THEN "refused" ELSE "over")
                    ELSE IF q \in others THEN "stopping" ELSE stage[q]]
    /\ homeOf' = [homeOf EXCEPT ![p] = e]
    /\ on' = [on EXCEPT ![p] = u]
    /\ UNCHANGED entryVars

RunEnds(p) ==
    /\ AtWork(p)
    /\ stage' = [q \in Placements |-> IF q = p \/ (stage[q] = "refused" /\ on[q] = on[p]) THEN "over" ELSE stage[q]]
    /\ UNCHANGED <<entryVars, homeOf, on>>

Break ==
    /\ breakAge = -1
    /\ breakAge' = 0
    /\ UNCHANGED <<age, holds, submitted, hasPromise, promiseAge, knows, knowsAge, startAge, stage, homeOf, on>>

Submit ==
    /\ ~submitted /\ breakAge >= Repeat
    /\ submitted' = TRUE
    /\ UNCHANGED <<age, breakAge, holds, hasPromise, promiseAge, knows, knowsAge, startAge, stage, homeOf, on>>

\* Entry 1 tells entry 2 of its open job and gets the acknowledgement.
Acknowledge ==
    /\ EndUnacknowledged /\ holds /\ age >= AnnounceAfter
    /\ hasPromise' = TRUE /\ promiseAge' = 0 /\ knows' = TRUE /\ knowsAge' = 0
    /\ UNCHANGED <<age, breakAge, holds, submitted, startAge, stage, homeOf, on>>

\* Entry 1 ends the job and stops its runs.
GiveUp ==
    /\ holds
    /\ holds' = FALSE
    /\ stage' = [p \in Placements |-> IF homeOf[p] = 1 /\ stage[p] = "active" THEN "stopping" ELSE stage[p]]
    /\ UNCHANGED <<age, breakAge, submitted, hasPromise, promiseAge, knows, knowsAge, startAge, homeOf, on>>

\* Entry 1 tells entry 2 that it does not hold the job any more and that all its runs are over.
TellOver ==
    /\ knows /\ ~holds /\ \A p \in Placements : homeOf[p] = 1 => ~AtWork(p)
    /\ knows' = FALSE /\ knowsAge' = 0
    /\ UNCHANGED <<age, breakAge, holds, submitted, hasPromise, promiseAge, startAge, stage, homeOf, on>>

Restart ==
    /\ ~submitted
    /\ knows' = FALSE /\ knowsAge' = 0 /\ startAge' = 0
    /\ UNCHANGED <<age, breakAge, holds, submitted, hasPromise, promiseAge, stage, homeOf, on>>

MustGiveUp ==
    /\ holds /\ EndUnacknowledged
    /\ IF hasPromise THEN RenewAcknowledgement /\ promiseAge >= AcknowledgeWithin
       ELSE age >= AnnounceAfter + AcknowledgeWithin

Tick ==
    /\ ~MustGiveUp /\ \A p \in Placements : stage[p] # "stopping"
    /\ age' = Older(age) /\ breakAge' = Older(breakAge) /\ promiseAge' = Older(promiseAge)
    /\ knowsAge' = Older(knowsAge) /\ startAge' = Older(startAge)
    /\ UNCHANGED <<holds, submitted, hasPromise, knows, stage, homeOf, on>>

Next ==
    \/ Tick \/ Break \/ Submit \/ Acknowledge \/ GiveUp \/ TellOver \/ Restart
    \/ \E p \in Placements : RunEnds(p)
    \/ \E e \in {1, 2}, u \in Upstreams, p \in Placements : Place(e, u, p)

Spec == Init /\ [][Next]_vars

OneRunAtATime == Cardinality({p \in Placements : AtWork(p)}) <= 1
=============================================================================
