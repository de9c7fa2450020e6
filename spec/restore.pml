/*
 * The store comes back from a copy while target A owns a range and leader 0 gives it to target B. Leader 0 goes on in the new era, or leader 1
 * replaces it, which may know nothing of the move. Proved here: the two targets never hold the range at the same time, and a new owner has a
 * higher fencing token than the last one. README.md maps the steps to the code.
 *
 * Every step is one guarded command, so that a process may be paused between any two steps and a call may be executed late. Timers count down in
 * ticks. Each define of the form NO_... removes one guard.
 */

#define LEASE 2         /* leaseTerm */
#define LEAD  3         /* leadershipLease */
#define FIRST 4         /* fencing tokens of the new era begin above it */
#define NONE 0
#define A 1
#define B 2

/* The store. The copy has the state before the move: owner A, fencing token 1, no revocation. */
byte era;
byte table = NONE;      /* owner in the table of the new era */
byte fence;             /* its fencing token */
byte lead = NONE;       /* leader of the new era: 1 for leader 0, 2 for leader 1 */
bit revokedA;           /* A's term of the old era is revoked in the new era */
bit newTermA, newTermB; /* the node has registered another term in the new era */
bit toNewTerm;          /* the table names the owner's other term */

/* Leader 0 in the old era. */
byte auth = LEAD;       /* rest of its leadership lease */
bit tried;              /* has revoked A's term */
byte wait;
bit moved;              /* has given the range to B, with fencing token 2 */
byte late;              /* a write of the old era that is under way: 1 before, 2 after the drill */

/* The leader of the new era. */
byte memory = A;        /* owner that it knows */
byte since;             /* ticks that it has to wait as one that did not lead before */
byte expiry;            /* rest of the time in which earlier leaders may have renewed leases */
bit askedA, askedB;     /* the node has answered this leader, and refuses earlier ones */
byte given;             /* wait after a revocation in the new era */
bit giving;

/* Nodes and targets. */
byte leaseA = LEASE, leaseB = LEASE;
bit termA = 1, termB = 1;
byte viewA = A, viewB = A;
byte fenceA = 1, fenceB;
byte holdA, holdB;
byte quiet;             /* rest of the holds that an earlier process of A's node may have granted */
bit startedA;
bit knownB = 1;         /* a leader that did not lead before knows of B's host */
byte last = 1;          /* fencing token of the last owner */
byte lastOwner = A;

#ifdef NO_UNBROKEN
#define mayRenew(lease, term, new) (term)
#else
#define mayRenew(lease, term, new) (term && (era == 0 || new || lease > 0))
#endif
#ifdef NO_ERA_NUMBERS
#define above(f) (f + 1)
#else
#define above(f) ((f > FIRST -> f : FIRST) + 1)
#endif
#ifdef NO_TAKEOVER
#define complete true
#else
#define complete (expiry == 0 || askedA && (askedB || !knownB) && since == 0)
#endif
#ifdef NO_LEADER_WAIT
#define leaderWait 0
#else
#define leaderWait LEASE
#endif
#ifdef NO_HOLD_WAIT
#define mayStartTerm(hold) true
#else
#define mayStartTerm(hold) (hold == 0 && quiet == 0)
#endif
#ifdef NO_CLAIM
#define mayWriteUnclaimed true
#else
#define mayWriteUnclaimed false
#endif
#ifdef NO_KINDS
#define lateWriteCounts true
#else
#define lateWriteCounts false
#endif

inline down(x) { if :: x > 0 -> x-- :: else fi }

inline tick()
{
	down(leaseA); down(leaseB); down(holdA); down(holdB); down(auth); down(wait); down(quiet); down(since); down(expiry); down(given);
	/* A term of the old era that lapses in the new one ends for good. */
#ifndef NO_UNBROKEN
	if :: era == 1 && leaseA == 0 && !newTermA -> termA = 0 :: else fi;
	if :: era == 1 && leaseB == 0 && !newTermB -> termB = 0 :: else fi
#endif
}

/* Leader 0 as the leader of the old era, which it may believe to be for as long as its leadership lease lasts. */
inline oldLeader()
{
	if
	:: era == 0 -> auth = LEAD
	/* It renews leases, bounded by its own. */
	:: auth > 0 && !tried && !askedA && !newTermA && mayRenew(leaseA, termA, newTermA) -> leaseA = (auth < LEASE -> auth : LEASE)
	:: auth > 0 && !askedB && !newTermB && mayRenew(leaseB, termB, newTermB) -> leaseB = (auth < LEASE -> auth : LEASE)
	/* It revokes A's term and gives the range away after the lease. */
	:: era == 0 && !tried -> tried = 1; wait = LEASE
	:: era == 0 && tried && wait == 0 && !moved -> moved = 1
	:: era == 0 && tried && wait == 0 && !moved && late == 0 -> late = 1
	:: late > 0 && era == 1 ->
		if :: lateWriteCounts && (table == NONE || table == A) -> table = B; fence = 2; toNewTerm = 0 :: else fi; late = 0
	:: era == 1 && mayWriteUnclaimed && auth > 0 && tried && wait == 0 && !moved && table != B && lead != 1 -> table = B; fence = 2; moved = 1
	/* B learns that it owns the range. */
	:: moved && auth > 0 && !askedB && viewB == A && table == NONE -> viewB = B; fenceB = 2
	fi
}

/* The leader of the new era. */
inline newLeader()
{
	if
	/* The node answers, and tells the owner that it knows. */
	:: lead != NONE && !askedA -> askedA = 1; if :: viewA == B -> memory = B :: else fi
	:: lead != NONE && !askedB -> askedB = 1; if :: viewB == B -> memory = B :: else fi
	/* It renews the leases of terms that are not revoked in this era. */
	:: askedA && (!revokedA || newTermA) && mayRenew(leaseA, termA, newTermA) -> leaseA = LEASE
	:: askedB && mayRenew(leaseB, termB, newTermB) -> leaseB = LEASE
	/* It writes the table again. */
	:: lead != NONE && table == NONE && complete -> table = memory; fence = memory
	/* It gives the range to the other target after a revocation, or at once if the owner has another term. */
	:: lead != NONE && table == A && !giving && !revokedA && termA && !newTermA -> revokedA = 1; giving = 1; given = (expiry > LEASE -> expiry : LEASE)
	:: lead != NONE && table == A && (giving && given == 0 || newTermA && !toNewTerm) && termB && knownB -> table = B; fence = above(fence); toNewTerm = newTermB; giving = 0
	:: lead != NONE && table == A && (giving && given == 0 || newTermA && !toNewTerm) && newTermA -> fence = above(fence); toNewTerm = 1; giving = 0
	:: lead != NONE && table == B && newTermB && !toNewTerm && newTermA -> table = A; fence = above(fence); toNewTerm = 1
	/* It learns of B when that registers another term. */
	:: lead != NONE && !knownB && newTermB -> knownB = 1
	fi
}

inline nodes()
{
	if
	/* They see the table of the new era. */
	:: table != NONE && askedA -> viewA = table; if :: table == A -> fenceA = fence :: else fi
	:: table != NONE && askedB -> viewB = table; if :: table == B -> fenceB = fence :: else fi
	/* Heartbeats: a target holds the range for at most the rest of the lease. */
	:: viewA == A && termA && leaseA > 0 && newTermA == (table == A && toNewTerm && fenceA == fence) -> holdA = leaseA;
		if :: lastOwner != A -> assert(fenceA > last) :: else fi; lastOwner = A; last = fenceA
	:: viewB == B && termB && leaseB > 0 && newTermB == (table == B && toNewTerm && fenceB == fence) -> holdB = leaseB;
		if :: lastOwner != B -> assert(fenceB > last) :: else fi; lastOwner = B; last = fenceB
	/* A's node starts again in the new era, where the store has no record of it. */
	:: era == 1 && !startedA && !newTermA -> startedA = 1; quiet = LEASE; termA = 0; leaseA = 0
	/* A node registers another term. */
	:: era == 1 && !termA && !newTermA && mayStartTerm(holdA) -> newTermA = 1; termA = 1; leaseA = 0; viewA = NONE
	:: era == 1 && !termB && !newTermB && holdB == 0 -> newTermB = 1; termB = 1; leaseB = 0; viewB = NONE
	fi
}

active proctype world()
{
	do
	:: atomic { tick() }
	:: atomic { oldLeader() }
	:: atomic { newLeader() }
	:: atomic { nodes() }
	/* The drill. */
	:: atomic { era == 0 -> era = 1; if :: late == 1 -> late = 2 :: else fi }
	/* Leader 0 goes on with what it knows, or leader 1 begins with the copy. */
	:: atomic { era == 1 && lead == NONE && auth > 0 -> lead = 1; memory = (moved -> B : A); since = 0; expiry = LEAD }
	:: atomic { era == 1 && lead == NONE -> lead = 2; memory = A; since = leaderWait; expiry = LEAD }
	/* Leader 1 may not know of B's host, if leader 0 is gone. */
	:: atomic { era == 1 && lead == NONE -> lead = 2; memory = A; since = leaderWait; expiry = LEAD; knownB = 0; auth = 0 }
	:: atomic { assert(!(holdA > 0 && holdB > 0)) }
	od
}
