/*
 * Ownership on the users' platform: the target beside node A owns a range under a term; coordinators revoke the term or move the
 * range to target B. Proved here: the two targets never hold the range at the same time. README.md maps the steps to the code.
 *
 * Every step is one guarded command, so that each process may be paused between any two steps and each message or answer may be
 * delayed for any time or lost. Timers count down in ticks. Each define of the form NO_... removes one guard.
 * Without MOVES two coordinators replace each other and revoke A's term. With MOVES there is one, which moves the range, and
 * A's node starts again and registers a new term.
 */

#ifdef MOVES
#define moves true
#else
#define moves false
#endif

#define LEASE 2         /* leaseTerm: how long after a check or a reported instant grants may last */
#define LEAD  3         /* leadTerm: how long after a check of the lead the coordinator gives its word */

/* The store: the record of A's target, the row of the table, the name of the coordinator. */
byte term = 1;
bit revoked;
bit ownerB;             /* the row names target B */
bit next;               /* the row names B as the next owner */
byte rowV = 1;
bit lead;               /* coordinator 0 or 1 */

/* Node A and its target. A process that starts again knows neither its grants nor the view. */
byte nodeTerm = 1;
byte lease;             /* rest of the time for which A knows that its term was not revoked */
byte check;             /* read of the own record under way: rest of LEASE since its sending */
byte report;            /* report or its word under way: rest of LEASE since its sending */
bit isWord;
byte hold;              /* rest of the target's hold */
byte granted;           /* rest of the hold as far as the process has granted it */
byte quiet;             /* rest of the longest hold that an earlier process may have granted */
bit sees = 1;           /* A's view names A's target as the owner, with no next owner */
bit releasing;          /* the target has been told to release, and holds nothing when it reports that */
bit released;           /* A's report that the range was released */
bit restarted;
bit late = 1;           /* a heartbeat without ranges, sent before all grants, is under way */
bit named;              /* the target has an answer of the new process, which names an address of that process */

/* Target B holds the range once its node has seen the row. */
bit holdB;

/* Coordinators. */
byte auth[2];           /* rest of the authority */
byte leadCheck[2];      /* read of the lead under way: rest of LEAD since its sending */
byte others[2];         /* rest of the words of the coordinator before */
bit tried[2];           /* has tried to revoke: never gives its word again */
bit knows[2];           /* its view shows the revocation */
byte wait[2];
bit sure[2];            /* a check sent after that named it */
bit sureCheck[2];       /* the check under way was sent after that */
byte view[2];           /* version of the row in its view */
byte write[2];          /* assignment under way, conditional on that version; 0 none */

#ifdef NO_SENT
#define since(x) LEASE
#else
#define since(x) x
#endif
#ifdef NO_AUTHORITY
#define mayGive(c) (!tried[c] && !knows[c])
#define bounded(c)
#else
#define mayGive(c) (!tried[c] && !knows[c] && auth[c] > 0)
#define bounded(c) if :: report > auth[c] -> report = auth[c] :: else fi
#endif
#ifdef NO_WAIT
#define waited(c) true
#else
#define waited(c) (wait[c] == 0)
#endif
#ifdef NO_SETTLED
#define settle(c) LEASE
#else
#define settle(c) (LEASE > others[c] -> LEASE : others[c])
#endif
#ifdef NO_CONFIRM
#define confirmed(c) true
#else
#define confirmed(c) sure[c]
#endif
#ifdef NO_RELEASE
#define given(c) (next)
#else
#define given(c) (released)
#endif
#ifdef NO_TERM_END
#define over true
#else
#define over (granted == 0 && quiet == 0)
#endif
#ifdef NO_RESTART_WAIT
#define unknownHold 0
#else
#define unknownHold LEASE
#endif
#ifdef NO_PROOF
#define listsAll true
#else
#define listsAll (quiet == 0)
#endif

inline down(x) { if :: x > 0 -> x-- :: else fi }

inline tick()
{
	down(lease); down(hold); down(granted); down(quiet);
	if :: check == 1 -> check = 0 :: check > 1 -> check-- :: else fi;
	if :: report == 1 -> report = 0; isWord = 0 :: report > 1 -> report-- :: else fi;
	down(auth[0]); down(auth[1]); down(others[0]); down(others[1]); down(wait[0]); down(wait[1]);
	if :: leadCheck[0] == 1 -> leadCheck[0] = 0; sureCheck[0] = 0 :: leadCheck[0] > 1 -> leadCheck[0]-- :: else fi;
	if :: leadCheck[1] == 1 -> leadCheck[1] = 0; sureCheck[1] = 0 :: leadCheck[1] > 1 -> leadCheck[1]-- :: else fi
}

inline extend(x) { if :: lease < x -> lease = x :: else fi }

inline nodeSteps()
{
	if
	/* A reads its record; the answer shows it as it was when the store took the call. */
	:: check == 0 -> check = LEASE
	:: check > 0 && !revoked && term == nodeTerm -> extend(since(check)); check = 0
	/* A reports. A word that answers it extends the lease from the sending of the report. */
	:: report == 0 -> report = LEASE; isWord = 0
	:: report > 0 && isWord && nodeTerm == 1 -> extend(since(report)); report = 0; isWord = 0
	/* A heartbeat: the target holds the range for at most the rest of the lease. */
	:: sees && lease > 0 && nodeTerm == 1 -> hold = lease; granted = lease; named = restarted
	/* A sees the next owner and leaves the range out; the target then lets it go and reports that. */
	:: moves && next && sees -> sees = 0; releasing = 1
	:: moves && releasing -> releasing = 0; hold = 0; granted = 0; released = 1
	/* The heartbeat of before arrives. A process that has had a later one discards it. */
	:: moves && late && (!restarted || named) -> late = 0
	:: moves && late && restarted && !named && next && !sees -> late = 0;
		if :: listsAll -> released = 1 :: else fi
	/* The new process answers a heartbeat without the range that moves, and the target lets it go. */
	:: moves && restarted && !named && next && !sees -> named = 1; hold = 0
	/* The next heartbeat comes to the named address, or the holds of the earlier process have expired. */
	:: moves && restarted && next && !sees && !releasing && granted == 0 && (named || quiet == 0) -> released = 1
	/* A sees that B owns the range. */
	:: ownerB && sees -> sees = 0
	/* The process starts again, reads the store, and has to read its record before it grants. */
	:: moves && !restarted -> restarted = 1; granted = 0; quiet = unknownHold; lease = 0; check = 0; report = 0; isWord = 0; releasing = 0; sees = !ownerB && !next
	/* A new term after a revocation or a restart of the target: earlier holds are over. */
	:: moves && term == 1 && nodeTerm == 1 && over && (revoked || restarted) -> term = 2; nodeTerm = 2; revoked = 0; lease = 0; check = 0; sees = 0
	fi
}

inline coordinatorSteps(c)
{
	if
	/* Read of the lead. */
	:: !moves && leadCheck[c] == 0 -> leadCheck[c] = LEAD; sureCheck[c] = knows[c]
	:: leadCheck[c] > 0 && lead == c ->
		if :: auth[c] < leadCheck[c] -> auth[c] = leadCheck[c] :: else fi;
		sure[c] = sure[c] || sureCheck[c]; leadCheck[c] = 0; sureCheck[c] = 0
	/* The second takes the lead, then lists the store. */
	:: !moves && c == 1 && lead == 0 -> lead = 1; auth[1] = LEAD; others[1] = LEAD; knows[1] = revoked; view[1] = rowV;
		if :: revoked -> wait[1] = settle(1); sure[1] = 1 :: else fi
	/* The answer to a report carries the word. */
	:: (c == 0 || lead == 1) && report > 0 && !isWord && mayGive(c) -> isWord = 1; bounded(c)
	/* Revoke; the answer may be lost, the record is seen later. */
	:: (c == 0 || lead == 1) && !tried[c] -> tried[c] = 1;
		if :: term == 1 -> revoked = 1 :: true fi
	/* See the revocation. */
	:: revoked && !knows[c] && (c == 0 || lead == 1) -> knows[c] = 1; wait[c] = settle(c)
	/* See the row. */
	:: view[c] != rowV -> view[c] = rowV
	/* Plan a move. */
	:: moves && c == 0 && !next && !ownerB && rowV < 4 -> next = 1; rowV++
	/* Send the assignment to B: after a revocation, with a later term, or after the release. */
	:: write[c] == 0 && !ownerB && view[c] > 0 && (knows[c] && waited(c) && confirmed(c) || term > 1 || given(c)) -> write[c] = view[c]
	/* The store takes it, or it is lost. */
	:: write[c] > 0 ->
		if :: write[c] == rowV && rowV < 5 -> ownerB = 1; next = 0; rowV++ :: else fi; write[c] = 0
	:: write[c] > 0 -> write[c] = 0
	fi
}

active proctype world()
{
	view[0] = 1; auth[0] = LEAD;
	do
	:: atomic { tick() }
	:: atomic { nodeSteps() }
	:: atomic { coordinatorSteps(0) }
	:: atomic { !moves -> coordinatorSteps(1) }
	:: atomic { ownerB && !holdB -> holdB = 1 }
	:: atomic { assert(!(holdB && hold > 0)) }
	od
}
