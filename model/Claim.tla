------------------------------- MODULE Claim -------------------------------
(***************************************************************************)
(* Which entry may settle one job id. To settle is to claim the id or to   *)
(* refuse it finally as not run.                                           *)
(*                                                                         *)
(* The store holds a list of rosters, extended by compare-and-swap. An id  *)
(* carries its creation time. Its home is the first member, in the order   *)
(* of Rank (in place of rendezvous hashing), of the last roster whose      *)
(* effective time is not after the creation time.                          *)
(*                                                                         *)
(* An entry keeps a horizon: it settles only ids created before its clock  *)
(* at the start of its last confirmation (a read of the store, or promises *)
(* of all other members) plus Window. A member that gains ids by a roster  *)
(* settles only those created at least Window (or the hold of a bootstrap) *)
(* plus Margin after the roster is known to have been stored. As there is  *)
(* only one creation time, the results of both comparisons are booleans.   *)
(*                                                                         *)
(* Pauses, delays and losses are steps that happen late or never. The      *)
(* right to settle an id does not expire, so a pause between the check and *)
(* the action has no effect.                                               *)
(***************************************************************************)
EXTENDS Integers, Sequences, FiniteSets

CONSTANTS
    Entries,          \* entry incarnations, numbered
    Features,         \* enabled parts of the protocol: "promise", "handover", "refuse", "bootstrap", "tell"
    FirstMembers,     \* members of the first roster
    MaxRosters,       \* length of the list from which on there are no publications
    MaxTime,          \* last clock tick
    Window,           \* ticks for which a confirmation is valid
    PromiseLimit,     \* ticks after a store read for which promises are valid
    ClockDifference,  \* largest difference between two clocks
    Margin,           \* ticks that a member waits in addition for ids that it gains
    CheckHorizon,     \* safeguards, down to FinalRefusal; FALSE disables one
    CheckGain,
    HoldPromises,
    DistrustReadBack,
    HoldBootstrap,
    OneHeir,
    FinalRefusal,
    MaxHandovers      \* number of handover messages from which on there are no planned stops

VARIABLES
    now, created, skew,
    store,     \* rosters: members, whether in effect at the creation time, hold
    flight,    \* entry -> publication sent to the store and not executed yet
    unsettled, \* entry -> whether its publication has no answer and may be executed, or may have been
    view,      \* entry -> number of rosters that it knows
    horizon,   \* entry -> whether the id was created before its horizon
    gain,      \* entry -> rosters by which it gained ids that it may settle
    promisers, \* entry -> members that have promised since its last question
    asked,     \* entry -> whether its open question would move its horizon past the creation time
    inLimit,   \* entry -> whether the id was created before its last store read plus PromiseLimit
    alive, leaving,
    handovers, \* handover messages: from, to, whether the id was settled, owners, whether the heir refused
    heirOf,    \* entry -> entries whose claims it has taken over
    knows,     \* entry -> whether the id is in its claim table
    settlers   \* entries that have settled the id as a new one

vars == <<now, created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit,
          alive, leaving, handovers, heirOf, knows, settlers>>

NoFlight == [base |-> 0]
Clock(e) == now + skew[e]
Rank(members) == IF members = {} THEN 0 ELSE CHOOSE e \in members : \A other \in members : e <= other

InForce(count) == CHOOSE i \in 1..count :
    store[i].inForce /\ \A j \in (i + 1)..count : ~store[j].inForce
HomeAt(i) == Rank(store[i].members)
Home(count) == HomeAt(InForce(count))

Newest(e) == store[view[e]].members

\* A member may settle ids that it gained only if they were created after the horizons of all older views.
GainAllowed(e, home) ==
    \A i \in 2..InForce(view[e]) : HomeAt(i - 1) # home => i \in gain[e]

MaySettle(e) ==
    /\ alive[e] /\ ~leaving[e] /\ ~knows[e] /\ view[e] > 0
    /\ Home(view[e]) \in {e} \union heirOf[e]
    /\ CheckHorizon => horizon[e]
    /\ CheckGain => GainAllowed(e, Home(view[e]))

Settle(e) ==
    /\ MaySettle(e)
    /\ settlers' = settlers \union {e}
    /\ knows' = [knows EXCEPT ![e] = TRUE]
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit,
                   alive, leaving, handovers, heirOf>>

\* Nobody gained ids by the first roster.
GainsNow(e, from, to) == {i \in (from..to) \ {1} : created >= Clock(e) + store[i].hold + Margin}

\* A read of the old list does not decide a publication: its compare-and-swap may still be executed later.
Read(e) ==
    /\ alive[e]
    /\ view' = [view EXCEPT ![e] = Len(store)]
    /\ horizon' = [horizon EXCEPT ![e] = @ \/ created < Clock(e) + Window]
    /\ inLimit' = [inLimit EXCEPT ![e] = "promise" \in Features /\ created < Clock(e) + PromiseLimit]
    /\ gain' = [gain EXCEPT ![e] = @ \union GainsNow(e, view[e] + 1, Len(store))]
    /\ unsettled' = [unsettled EXCEPT ![e] = @ /\ DistrustReadBack /\ flight[e] # NoFlight]
    /\ promisers' = [promisers EXCEPT ![e] = {}]
    /\ asked' = [asked EXCEPT ![e] = FALSE]
    /\ UNCHANGED <<now, created, skew, store, flight, alive, leaving, handovers, heirOf, knows, settlers>>

\* A peer sends the rosters that it knows and since when each is known to be stored.
Tell(e, f) ==
    /\ "tell" \in Features
    /\ alive[f] /\ view[e] > view[f]
    /\ view' = [view EXCEPT ![f] = view[e]]
    /\ gain' = [gain EXCEPT ![f] = @ \union gain[e] \union GainsNow(f, view[f] + 1, view[e])]
    /\ promisers' = [promisers EXCEPT ![f] = {}]
    /\ asked' = [asked EXCEPT ![f] = FALSE]
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, horizon, inLimit, alive, leaving, handovers, heirOf,
                   knows, settlers>>

Send(e, members, hold) ==
    LET honest == created >= Clock(e) + hold + Margin
    IN \E inForce \in (IF CheckGain THEN BOOLEAN ELSE {honest}) :
        /\ inForce => store[view[e]].inForce
        /\ flight' = [flight EXCEPT ![e] =
               [base |-> view[e], members |-> members, inForce |-> inForce, hold |-> hold]]

\* A member publishes a roster that adds or removes one entry. The last member may publish an empty roster.
Publish(e) ==
    /\ alive[e] /\ view[e] \in 1..(MaxRosters - 1) /\ e \in Newest(e)
    /\ flight[e] = NoFlight /\ ~unsettled[e] /\ view[e] = Len(store)
    /\ \E changed \in Entries :
        LET members == IF changed \in Newest(e) THEN Newest(e) \ {changed} ELSE Newest(e) \union {changed}
        IN Send(e, members, Window)
    /\ unsettled' = [unsettled EXCEPT ![e] = "promise" \in Features]
    /\ UNCHANGED <<now, created, skew, store, view, horizon, gain, promisers, asked, inLimit, alive, leaving,
                   handovers, heirOf, knows, settlers>>

\* An entry that is not a member takes over when no member answers. Unless all members are known to have ended, the
\* hold is PromiseLimit, as promises may let the members claim ids for so long without a read of the store.
Bootstrap(e) ==
    /\ "bootstrap" \in Features
    /\ alive[e] /\ view[e] \in 1..(MaxRosters - 1) /\ e \notin Newest(e)
    /\ flight[e] = NoFlight /\ ~unsettled[e] /\ view[e] = Len(store)
    /\ LET allDead == \A m \in Newest(e) : ~alive[m]
           hold == IF allDead \/ ~HoldBootstrap THEN Window ELSE PromiseLimit
       IN Send(e, {e}, hold)
    /\ unsettled' = [unsettled EXCEPT ![e] = "promise" \in Features]
    /\ UNCHANGED <<now, created, skew, store, view, horizon, gain, promisers, asked, inLimit, alive, leaving,
                   handovers, heirOf, knows, settlers>>

\* The store executes the compare-and-swap, possibly long after it was sent.
Land(e) ==
    /\ flight[e] # NoFlight /\ flight[e].base = Len(store)
    /\ store' = Append(store, [members |-> flight[e].members, inForce |-> flight[e].inForce, hold |-> flight[e].hold])
    /\ flight' = [f \in Entries |-> NoFlight] \* The others expect the former list and fail.
    /\ UNCHANGED <<now, created, skew, unsettled, view, horizon, gain, promisers, asked, inLimit, alive, leaving,
                   handovers, heirOf, knows, settlers>>

Ask(e) ==
    /\ "promise" \in Features
    /\ alive[e] /\ view[e] > 0 /\ ~horizon[e]
    /\ created < Clock(e) + Window /\ inLimit[e] /\ ~asked[e]
    /\ asked' = [asked EXCEPT ![e] = TRUE]
    /\ promisers' = [promisers EXCEPT ![e] = {}]
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, horizon, gain, inLimit, alive, leaving,
                   handovers, heirOf, knows, settlers>>

Promise(m, e) ==
    /\ alive[m] /\ alive[e] /\ asked[e] /\ m # e /\ m \notin promisers[e]
    /\ view[m] = view[e] /\ m \in Newest(e)
    /\ HoldPromises => ~unsettled[m]
    /\ LET promised == promisers[e] \union {m}
       IN /\ promisers' = [promisers EXCEPT ![e] = promised]
          /\ UNCHANGED horizon
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, gain, asked, inLimit, alive, leaving,
                   handovers, heirOf, knows, settlers>>

\* The asking member counts as a promiser: the outcome of its own publication must be known too.
Confirm(e) ==
    /\ alive[e] /\ asked[e] /\ Newest(e) \ {e} \subseteq promisers[e]
    /\ HoldPromises => ~unsettled[e]
    /\ horizon' = [horizon EXCEPT ![e] = TRUE]
    /\ asked' = [asked EXCEPT ![e] = FALSE]
    /\ promisers' = [promisers EXCEPT ![e] = {}]
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, gain, inLimit, alive, leaving, handovers,
                   heirOf, knows, settlers>>

\* Planned stop: the leaving entry stops settling and names one heir, and another only after a refusal.
Leave(e, f) ==
    /\ "handover" \in Features
    /\ alive[e] /\ e # f /\ view[e] > 0
    /\ Cardinality(handovers) < MaxHandovers
    /\ \/ ~leaving[e]
       \/ ~OneHeir /\ Cardinality({h \in handovers : h.from = e}) < 2
    /\ leaving' = [leaving EXCEPT ![e] = TRUE]
    /\ handovers' = handovers \union {[from |-> e, to |-> f, settled |-> knows[e], owned |-> {e} \union heirOf[e],
           refused |-> FALSE]}
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit,
                   alive, heirOf, knows, settlers>>

TakeOver(h) ==
    /\ alive[h.to] /\ h.from \notin heirOf[h.to] /\ ~leaving[h.to]
    /\ FinalRefusal => ~h.refused
    /\ heirOf' = [heirOf EXCEPT ![h.to] = @ \union h.owned]
    /\ knows' = [knows EXCEPT ![h.to] = @ \/ h.settled]
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit,
                   alive, leaving, handovers, settlers>>

\* An heir that is leaving refuses. A refusal is final, and so is a completed takeover.
Refuse(h) ==
    /\ "refuse" \in Features
    /\ alive[h.to] /\ leaving[h.to] /\ ~h.refused
    /\ FinalRefusal => h.from \notin heirOf[h.to]
    /\ handovers' = (handovers \ {h}) \union {[h EXCEPT !.refused = TRUE]}
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit,
                   alive, leaving, heirOf, knows, settlers>>

\* A leaving entry whose heirs have all refused may claim again and name another heir.
Resume(e) ==
    /\ "refuse" \in Features
    /\ alive[e] /\ leaving[e]
    /\ \A h \in handovers : h.from = e => h.refused
    /\ leaving' = [leaving EXCEPT ![e] = FALSE]
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit,
                   alive, handovers, heirOf, knows, settlers>>

\* A crashed entry differs from one that takes no more steps only for a bootstrap.
Crash(e) ==
    /\ "bootstrap" \in Features
    /\ alive[e] /\ e \in FirstMembers
    /\ alive' = [alive EXCEPT ![e] = FALSE]
    /\ UNCHANGED <<now, created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit,
                   leaving, handovers, heirOf, knows, settlers>>

Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ UNCHANGED <<created, skew, store, flight, unsettled, view, horizon, gain, promisers, asked, inLimit, alive,
                   leaving, handovers, heirOf, knows, settlers>>

Init ==
    /\ now = 0
    /\ created \in 1..(MaxTime + ClockDifference + Window - 1)
    /\ skew \in {s \in [Entries -> 0..ClockDifference] : \E e \in Entries : s[e] = 0}
    /\ store = <<[members |-> FirstMembers, inForce |-> TRUE, hold |-> 0]>>
    /\ flight = [e \in Entries |-> NoFlight]
    /\ unsettled = [e \in Entries |-> FALSE]
    /\ view = [e \in Entries |-> 0]
    /\ horizon = [e \in Entries |-> FALSE]
    /\ gain = [e \in Entries |-> {}]
    /\ promisers = [e \in Entries |-> {}]
    /\ asked = [e \in Entries |-> FALSE]
    /\ inLimit = [e \in Entries |-> FALSE]
    /\ alive = [e \in Entries |-> TRUE]
    /\ leaving = [e \in Entries |-> FALSE]
    /\ handovers = {}
    /\ heirOf = [e \in Entries |-> {}]
    /\ knows = [e \in Entries |-> FALSE]
    /\ settlers = {}

Next ==
    \/ Tick
    \/ \E h \in handovers : TakeOver(h) \/ Refuse(h)
    \/ \E e \in Entries :
        \/ Settle(e) \/ Read(e) \/ Publish(e) \/ Bootstrap(e) \/ Land(e) \/ Ask(e) \/ Confirm(e) \/ Crash(e)
        \/ Resume(e)
        \/ \E f \in Entries : Tell(e, f) \/ Promise(f, e) \/ Leave(e, f)

Spec == Init /\ [][Next]_vars

\* At most one entry claims an id, and none does after another entry has refused it as not run.
SettledOnce == Cardinality(settlers) <= 1
=============================================================================
