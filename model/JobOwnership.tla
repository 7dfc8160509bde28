---------------------------- MODULE JobOwnership ----------------------------
(***************************************************************************)
(* Which of two entries works on a job (class JobOwnership).               *)
(*                                                                         *)
(* A caller submits a job of one task and, Repeat after the submission at  *)
(* the earliest, submits it again at any entry; the first entry may never  *)
(* notice that its caller has left. Entries and agents are connected. The  *)
(* entries' direct connection is cut for good, so that they reach each     *)
(* other through agents that are connected to both. An entry may pause at  *)
(* any time and for any time, and its clock stands still meanwhile; it may *)
(* be cut off from all agents, and restart; a running entry that is not    *)
(* cut off connects to all agents again before the next tick. A request    *)
(* may have arrived before a pause and be read after it.                   *)
(*                                                                         *)
(* Only ages count, in ticks of about 330 ms. Whatever a running process   *)
(* has to do at once is done before the next tick, in any order.           *)
(***************************************************************************)
EXTENDS Integers, FiniteSets

CONSTANTS
    Agents,
    Repeat,            \* shortest time between two submissions of the job
    AnnounceFrom,      \* age from which on a job is announced
    ConfirmFrom,       \* age from which on the runs of a job need a confirmation
    Confirmation,      \* time for new confirmations after old ones became void
    BusySilence,       \* time after which an agent gives up an entry whose runs it has
    IdleSilence,       \* the same for an entry without runs
    OrderValid,        \* age from which on an agent refuses an order; measured by what the entry has heard from it
    RunsEnded,         \* time after which the runs of an unreachable entry are over
    Doubt,             \* time for which all jobs need a confirmation
    PauseNoticed,      \* time of pauses, taken together, that an entry notices
    MaxRestarts,
    MaxRepeats,        \* number of times that the job is submitted again
    MaxFaults,         \* number of pauses, cuts and restarts, taken together
    ConfirmOldJobs,    \* old jobs without confirmations are not placed, and the entry stops their runs
    LimitRuns,         \* agents stop runs that are not confirmed in time
    KeepPromises,      \* an entry does not start a job that it has confirmed to another one
    DoubtAfterPause,   \* a pause makes confirmations void and all jobs doubtful
    DoubtNewEntries,   \* so does an entry that becomes reachable
    AwaitRunsEnded     \* jobs of an entry that becomes unreachable are not started for RunsEnded

Entries == {1, 2}
Other(e) == 3 - e
None == -1

VARIABLES
    sinceSubmit,  \* time since the last submission
    repeats,      \* number of submissions after the first one
    unread,       \* whether the first submission lies unread at entry 1
    paused,       \* entry -> whether it stands still
    lag,          \* entry -> time of pauses that it has not noticed
    faultCount,
    off,          \* entry -> whether it is cut off from all agents
    silent,       \* entry -> time since agents have heard from it
    connected,    \* entry -> agents that are connected to it
    incarnation,  \* entry -> number of its restarts
    known,        \* entry -> incarnation of the other one that it believes to be reachable, or None
    holds,        \* entry -> whether the job is open
    age,          \* entry -> age of the open job, by the entry's clock
    confirmed,    \* entry -> whether the other one has confirmed the job
    answer,       \* entry -> answer that is on its way: "none", "confirmed" or "kept"
    allowed,      \* entry -> time for which runs go on after a confirmation became void
    doubt,        \* entry -> time for which all jobs need confirmations
    blocked,      \* entry -> time for which unknown runs of an unreachable entry may go on
    promise,      \* entry -> incarnation of the other one whose job it has confirmed, or None
    unreachable,  \* entry -> time since the owner of the promise is unreachable
    run,          \* entry -> agent where the task runs, or None
    stopping,     \* entry -> whether that run is being stopped
    limit,        \* entry -> time after which the agent stops that run unless it is confirmed, or None
    believed,     \* entry -> agent where the entry believes its run to be, or None
    wait          \* entry -> time until the runs at a lost agent are over

submission == <<sinceSubmit, repeats, unread>>
faults == <<paused, lag, off, incarnation, faultCount>>

network == <<silent, connected>>
ownership == <<holds, age, confirmed, answer, allowed, doubt, blocked, promise, unreachable, known>>
runs == <<run, stopping, limit, believed, wait>>
vars == <<submission, faults, network, ownership, runs>>

Min(a, b) == IF a < b THEN a ELSE b
Max(a, b) == IF a > b THEN a ELSE b
Runs(e) == ~paused[e]
Hears(e) == Runs(e) /\ ~off[e]
Common == connected[1] \cap connected[2]
Reach(e) == IF Common # {} THEN incarnation[Other(e)] ELSE None
IsYoung(e) == age[e] < ConfirmFrom /\ doubt[e] = 0
IsConfirmed(e) == blocked[e] = 0 /\ (confirmed[e] \/ known[e] = None)
MayPlace(e) == ConfirmOldJobs => IsConfirmed(e) \/ (blocked[e] = 0 /\ known[e] # None /\ IsYoung(e))
MustStop(e) ==
    ConfirmOldJobs /\ holds[e] /\ believed[e] # None /\ ~IsConfirmed(e) /\ age[e] >= ConfirmFrom /\ allowed[e] = 0
HasRuns(e) == believed[e] # None \/ wait[e] > 0

Init ==
    /\ sinceSubmit = 0 /\ repeats = 0 /\ unread = TRUE
    /\ paused \in [Entries -> BOOLEAN]
    /\ lag = [e \in Entries |-> 0]
    /\ faultCount = 0
    /\ off = [e \in Entries |-> FALSE]
    /\ silent = [e \in Entries |-> 0]
    /\ connected = [e \in Entries |-> Agents]
    /\ incarnation = [e \in Entries |-> 0]
    /\ known = [e \in Entries |-> 0]
    /\ holds = [e \in Entries |-> FALSE]
    /\ age = [e \in Entries |-> 0]
    /\ confirmed = [e \in Entries |-> FALSE]
    /\ answer = [e \in Entries |-> "none"]
    /\ allowed = [e \in Entries |-> 0]
    /\ doubt = [e \in Entries |-> 0]
    /\ blocked = [e \in Entries |-> 0]
    /\ promise = [e \in Entries |-> None]
    /\ unreachable = [e \in Entries |-> 0]
    /\ run = [e \in Entries |-> None]
    /\ stopping = [e \in Entries |-> FALSE]
    /\ limit = [e \in Entries |-> None]
    /\ believed = [e \in Entries |-> None]
    /\ wait = [e \in Entries |-> 0]

\* A job that the entry has confirmed to another one is joined there, which changes nothing here.
Accept(e) ==
    /\ ~holds[e] /\ (KeepPromises => promise[e] = None)
    /\ holds' = [holds EXCEPT ![e] = TRUE]
    /\ age' = [age EXCEPT ![e] = 0]
    /\ confirmed' = [confirmed EXCEPT ![e] = FALSE]
    /\ answer' = [answer EXCEPT ![e] = "none"]
    /\ UNCHANGED <<allowed, doubt, blocked, promise, unreachable, known>>

ReadFirst ==
    /\ unread /\ Runs(1)
    /\ unread' = FALSE
    /\ IF ~holds[1] /\ (KeepPromises => promise[1] = None) THEN Accept(1) ELSE UNCHANGED ownership
    /\ UNCHANGED <<sinceSubmit, repeats, faults, network, runs>>

Submit(e) ==
    /\ sinceSubmit >= Repeat /\ repeats < MaxRepeats /\ Hears(e) /\ Accept(e)
    /\ repeats' = repeats + 1
    /\ sinceSubmit' = 0
    /\ UNCHANGED <<unread, faults, network, runs>>

CountFault ==
    /\ faultCount < MaxFaults
    /\ faultCount' = faultCount + 1

Pause(e) ==
    /\ Runs(e) /\ CountFault
    /\ paused' = [paused EXCEPT ![e] = TRUE]
    /\ UNCHANGED <<submission, lag, off, incarnation, network, ownership, runs>>

MakeDoubtful(e) ==
    /\ doubt' = [doubt EXCEPT ![e] = Doubt]
    /\ allowed' = [allowed EXCEPT ![e] = IF IsConfirmed(e) THEN Confirmation ELSE @]
    /\ confirmed' = [confirmed EXCEPT ![e] = FALSE]
    /\ answer' = [answer EXCEPT ![e] = "none"]

BecomeReachable(e) ==
    /\ known' = [known EXCEPT ![e] = incarnation[Other(e)]]
    /\ IF DoubtNewEntries THEN MakeDoubtful(e) ELSE UNCHANGED <<doubt, allowed, confirmed, answer>>

LossBlocks(e) == IF AwaitRunsEnded /\ ~confirmed[e] /\ ~IsYoung(e) THEN RunsEnded ELSE 0

Wake(e) ==
    /\ ~Runs(e)
    /\ paused' = [paused EXCEPT ![e] = FALSE]
    /\ IF DoubtAfterPause /\ lag[e] >= PauseNoticed
       THEN /\ MakeDoubtful(e)
            /\ lag' = [lag EXCEPT ![e] = 0]
            /\ blocked' = [blocked EXCEPT ![e] = Max(@, 1)]
            /\ UNCHANGED <<holds, age, promise, unreachable, known>>
       ELSE UNCHANGED <<ownership, lag>>
    /\ UNCHANGED <<submission, off, incarnation, faultCount, network, runs>>

CutOff(e) ==
    /\ off' = [off EXCEPT ![e] = ~@]
    /\ IF off[e] THEN UNCHANGED faultCount ELSE CountFault
    /\ UNCHANGED <<submission, paused, lag, incarnation, network, ownership, runs>>

\* A new process knows nothing; the connections of the earlier one end at once.
Restart(e) ==
    /\ incarnation[e] < MaxRestarts /\ CountFault
    /\ incarnation' = [incarnation EXCEPT ![e] = @ + 1]
    /\ paused' = [paused EXCEPT ![e] = FALSE]
    /\ lag' = [lag EXCEPT ![e] = 0]
    /\ connected' = [connected EXCEPT ![e] = {}]
    /\ silent' = [silent EXCEPT ![e] = 0]
    /\ stopping' = [stopping EXCEPT ![e] = run[e] # None]
    /\ believed' = [believed EXCEPT ![e] = None]
    /\ wait' = [wait EXCEPT ![e] = 0]
    /\ holds' = [holds EXCEPT ![e] = FALSE]
    /\ confirmed' = [confirmed EXCEPT ![e] = FALSE]
    /\ answer' = [answer EXCEPT ![e] = "none"]
    /\ doubt' = [doubt EXCEPT ![e] = 0]
    /\ blocked' = [blocked EXCEPT ![e] = 0]
    /\ allowed' = [allowed EXCEPT ![e] = 0]
    /\ promise' = [promise EXCEPT ![e] = None]
    /\ unreachable' = [unreachable EXCEPT ![e] = 0]
    /\ known' = [known EXCEPT ![e] = None]
    /\ unread' = IF e = 1 THEN FALSE ELSE unread
    /\ UNCHANGED <<sinceSubmit, repeats, off, age, run, limit>>

\* An agent gives up an entry that has been silent, and stops its runs.
MustLose(e, u) ==
    u \in connected[e] /\ (silent[e] >= IdleSilence \/ (silent[e] >= BusySilence /\ run[e] = u))

Lose(e, u) ==
    /\ u \in connected[e] /\ silent[e] >= BusySilence
    /\ connected' = [connected EXCEPT ![e] = @ \ {u}]
    /\ stopping' = [stopping EXCEPT ![e] = @ \/ run[e] = u]
    /\ UNCHANGED <<submission, faults, silent, ownership, run, limit, believed, wait>>

LearnLost(e) ==
    /\ Runs(e) /\ believed[e] # None /\ believed[e] \notin connected[e]
    /\ believed' = [believed EXCEPT ![e] = None]
    /\ wait' = [wait EXCEPT ![e] = RunsEnded]
    /\ UNCHANGED <<submission, faults, network, ownership, run, stopping, limit>>

\* The agent tells the entry which others it is connected to before the entry can order runs from it. An entry that
\* connects again was lost by that agent, and perhaps by the other entry too.
Reconnect(e, u) ==
    LET o == Other(e) IN
    /\ Hears(e) /\ u \notin connected[e] /\ believed[e] # u /\ run[e] # u
    /\ connected' = [connected EXCEPT ![e] = @ \cup {u}]
    /\ silent' = [silent EXCEPT ![e] = 0]
    /\ known' = [known EXCEPT ![e] = IF u \in connected[o] THEN incarnation[o] ELSE @]
    /\ IF DoubtNewEntries THEN MakeDoubtful(e) ELSE UNCHANGED <<doubt, allowed, confirmed, answer>>
    /\ blocked' = [blocked EXCEPT ![e] =
           IF known[e] # None /\ u \in connected[o] /\ known[e] # incarnation[o] THEN Max(@, LossBlocks(e))
           ELSE IF AwaitRunsEnded /\ connected[e] = {} THEN Max(@, 1) ELSE @]
    /\ UNCHANGED <<submission, faults, holds, age, promise, unreachable, runs>>

\* The agents tell an entry whether they are connected to the other one. A new process is another entry.
LearnUnreachable(e) ==
    /\ Hears(e) /\ known[e] # None /\ known[e] # Reach(e)
    /\ known' = [known EXCEPT ![e] = None]
    /\ blocked' = [blocked EXCEPT ![e] = Max(@, LossBlocks(e))]
    /\ UNCHANGED <<submission, faults, network, holds, age, confirmed, answer, allowed, doubt, promise, unreachable, runs>>

LearnReachable(e) ==
    /\ Hears(e) /\ known[e] = None /\ Reach(e) # None
    /\ BecomeReachable(e)
    /\ UNCHANGED <<submission, faults, network, holds, age, blocked, promise, unreachable, runs>>

Asks(e) ==
    /\ Hears(e) /\ Hears(Other(e)) /\ Common # {} /\ known[e] = incarnation[Other(e)]
    /\ holds[e] /\ (age[e] >= AnnounceFrom \/ doubt[e] > 0)
    /\ answer[e] = "none" /\ ~confirmed[e]

MustYield(e) ==
    LET o == Other(e) IN
    believed[e] # None /\ ((believed[o] # None /\ e < o) \/ (believed[o] = None /\ wait[o] > 0))

\* The other entry answers an announcement of e. The one with active runs keeps the job; if neither has any, the one with
\* precedence does.
Answer(e) ==
    LET o == Other(e) IN
    /\ Asks(e) /\ ~MustYield(e)
    /\ IF believed[o] # None \/ (believed[e] = None /\ (wait[o] > 0 \/ (holds[o] /\ o < e)))
       THEN /\ answer' = [answer EXCEPT ![e] = "kept"]
            /\ UNCHANGED <<holds, promise, unreachable>>
       ELSE /\ answer' = [answer EXCEPT ![e] = "confirmed"]
            /\ holds' = [holds EXCEPT ![o] = FALSE]
            /\ promise' = [promise EXCEPT ![o] = incarnation[e]]
            /\ unreachable' = [unreachable EXCEPT ![o] = 0]
    /\ UNCHANGED <<submission, faults, network, age, confirmed, allowed, doubt, blocked, known, runs>>

\* An entry that yields while it may have runs stops them, and answers once they are over.
Yield(e) ==
    LET o == Other(e) IN
    /\ Asks(e) /\ MustYield(e)
    /\ holds' = [holds EXCEPT ![o] = FALSE]
    /\ promise' = [promise EXCEPT ![o] = incarnation[e]]
    /\ unreachable' = [unreachable EXCEPT ![o] = 0]
    /\ stopping' = [stopping EXCEPT ![o] = run[o] # None]
    /\ UNCHANGED <<submission, faults, network, age, confirmed, answer, allowed, doubt, blocked, known>>
    /\ UNCHANGED <<run, limit, believed, wait>>

Receive(e) ==
    /\ Runs(e) /\ answer[e] # "none"
    /\ answer' = [answer EXCEPT ![e] = "none"]
    /\ IF answer[e] = "confirmed"
       THEN /\ confirmed' = [confirmed EXCEPT ![e] = holds[e]]
            /\ limit' = [limit EXCEPT ![e] = IF run[e] \in connected[e] /\ ~off[e] THEN None ELSE @]
            /\ UNCHANGED <<holds, stopping>>
       ELSE /\ holds' = [holds EXCEPT ![e] = FALSE]
            /\ stopping' = [stopping EXCEPT ![e] = run[e] # None]
            /\ UNCHANGED <<confirmed, limit>>
    /\ UNCHANGED <<submission, faults, network, age, allowed, doubt, blocked, promise>>
    /\ UNCHANGED <<unreachable, known, run, believed, wait>>

\* The owner no longer announces the job, as its runs are over.
Release(e) ==
    LET o == Other(e) IN
    /\ Hears(e) /\ Hears(o) /\ Common # {}
    /\ ~holds[e] /\ ~HasRuns(e) /\ promise[o] = incarnation[e]
    /\ promise' = [promise EXCEPT ![o] = None]
    /\ UNCHANGED <<submission, faults, network, holds, age, confirmed, answer, allowed, doubt, blocked, unreachable>>
    /\ UNCHANGED <<known, runs>>

ForgetPromise(e) ==
    /\ Runs(e) /\ promise[e] # None /\ known[e] # promise[e]
    /\ AwaitRunsEnded => unreachable[e] >= RunsEnded
    /\ promise' = [promise EXCEPT ![e] = None]
    /\ UNCHANGED <<submission, faults, network, holds, age, confirmed, answer, allowed, doubt, blocked, unreachable>>
    /\ UNCHANGED <<known, runs>>

\* Callers or their deadlines end the job.
GiveUp(e) ==
    /\ Runs(e) /\ holds[e]
    /\ holds' = [holds EXCEPT ![e] = FALSE]
    /\ stopping' = [stopping EXCEPT ![e] = run[e] # None]
    /\ UNCHANGED <<submission, faults, network, age, confirmed, answer, allowed, doubt, blocked, promise>>
    /\ UNCHANGED <<unreachable, known, run, limit, believed, wait>>

\* An agent refuses a run while it has another one of the task.
Place(e, u) ==
    /\ Hears(e) /\ holds[e] /\ ~HasRuns(e) /\ run[e] = None /\ u \in connected[e] /\ MayPlace(e)
    /\ silent[e] < OrderValid /\ run[Other(e)] # u
    /\ run' = [run EXCEPT ![e] = u]
    /\ stopping' = [stopping EXCEPT ![e] = FALSE]
    /\ limit' = [limit EXCEPT ![e] = IF ~LimitRuns \/ IsConfirmed(e) THEN None ELSE Max(ConfirmFrom - age[e], 0)]
    /\ believed' = [believed EXCEPT ![e] = u]
    /\ UNCHANGED <<submission, faults, network, ownership, wait>>

StopOwn(e) ==
    /\ Runs(e) /\ MustStop(e) /\ run[e] # None /\ ~stopping[e]
    /\ stopping' = [stopping EXCEPT ![e] = TRUE]
    /\ UNCHANGED <<submission, faults, network, ownership, run, limit, believed, wait>>

\* The agent stops a run that was not confirmed in time.
Expire(e) ==
    /\ run[e] # None /\ ~stopping[e] /\ limit[e] = 0
    /\ stopping' = [stopping EXCEPT ![e] = TRUE]
    /\ UNCHANGED <<submission, faults, network, ownership, run, limit, believed, wait>>

RunEnds(e) ==
    /\ run[e] # None
    /\ run' = [run EXCEPT ![e] = None]
    /\ stopping' = [stopping EXCEPT ![e] = FALSE]
    /\ limit' = [limit EXCEPT ![e] = None]
    /\ UNCHANGED <<submission, faults, network, ownership, believed, wait>>

LearnEnd(e) ==
    /\ Hears(e) /\ believed[e] # None /\ believed[e] \in connected[e] /\ run[e] = None
    /\ believed' = [believed EXCEPT ![e] = None]
    /\ UNCHANGED <<submission, faults, network, ownership, run, stopping, limit, wait>>

IsUrgent(e) ==
    \/ stopping[e] \/ limit[e] = 0
    \/ \E u \in Agents : MustLose(e, u)
    \/ Runs(e) /\ (MustStop(e) /\ run[e] # None)
    \/ Runs(e) /\ believed[e] # None /\ believed[e] \notin connected[e]
    \/ Hears(e) /\ (known[e] # Reach(e) \/ connected[e] # Agents)
    \/ e = 1 /\ unread /\ Runs(1)

Passed(e, value, longest) == IF Runs(e) THEN Min(value + 1, longest) ELSE value
Left(e, value) == IF Runs(e) THEN Max(value - 1, 0) ELSE value

Tick ==
    /\ \A e \in Entries : ~IsUrgent(e)
    /\ sinceSubmit' = Min(sinceSubmit + 1, Repeat)
    /\ lag' = [e \in Entries |-> IF Runs(e) THEN lag[e] ELSE Min(lag[e] + 1, PauseNoticed)]
    /\ silent' = [e \in Entries |-> IF Hears(e) THEN 0 ELSE Min(silent[e] + 1, IdleSilence)]
    /\ age' = [e \in Entries |-> IF holds[e] THEN Passed(e, age[e], ConfirmFrom) ELSE 0]
    /\ allowed' = [e \in Entries |-> Left(e, allowed[e])]
    /\ doubt' = [e \in Entries |-> Left(e, doubt[e])]
    /\ blocked' = [e \in Entries |-> Left(e, blocked[e])]
    /\ wait' = [e \in Entries |-> Left(e, wait[e])]
    /\ limit' = [e \in Entries |-> IF limit[e] = None THEN None ELSE limit[e] - 1]
    /\ unreachable' = [e \in Entries |->
           IF promise[e] # None /\ known[e] # promise[e] THEN Passed(e, unreachable[e], RunsEnded) ELSE 0]
    /\ UNCHANGED <<repeats, unread, paused, off, incarnation, faultCount, connected, known, holds, confirmed, answer, promise, run, stopping, believed>>

Next ==
    \/ Tick \/ ReadFirst
    \/ \E e \in Entries :
        \/ Submit(e) \/ Pause(e) \/ Wake(e) \/ CutOff(e) \/ Restart(e)
        \/ LearnLost(e) \/ LearnUnreachable(e) \/ LearnReachable(e) \/ LearnEnd(e)
        \/ Answer(e) \/ Yield(e) \/ Receive(e) \/ Release(e) \/ ForgetPromise(e) \/ GiveUp(e) \/ StopOwn(e)
        \/ Expire(e) \/ RunEnds(e)
        \/ \E u \in Agents : Lose(e, u) \/ Reconnect(e, u) \/ Place(e, u)

Spec == Init /\ [][Next]_vars

OneRunAtATime == run[1] = None \/ run[2] = None
=============================================================================
