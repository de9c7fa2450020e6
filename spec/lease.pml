/*
 * The lease of one node: renewals, grants, revocation by votes, change of grantors, resignation and
 * restarts. Proved here: once the record says that the node is revoked, the node does not believe in
 * its lease, then or later. assignment.pml builds on that. README.md maps the steps to the code.
 *
 * Every step is one guarded command of a single process, so any process may be paused between any two
 * of its steps, and any message or answer may be delayed for any time or lost. Timers count down in
 * ticks. Each define of the form NO_... removes one guard of the protocol.
 */

#define D    2          /* validity of a grant in ticks */
#define MAXV 4          /* versions of the record: next set, promotion or retreat, revocation */

#define LIVE    0
#define REVOKED 1

/*
 * Without CHANGE, the grantors are {0,1,2} throughout. With CHANGE, the first set is {0} and the
 * second {3}: no majority of one is a majority of the other, which is the worst case.
 */
#ifdef CHANGE
#define firstSet(i) (i == 0)
#define majority1 (until[0] > 0)
#define votes1 counts(0)
#define changes true
#else
#define firstSet(i) (i < 3)
#define majority1 ((until[0] > 0) + (until[1] > 0) + (until[2] > 0) >= 2)
#define votes1 (counts(0) + counts(1) + counts(2) >= 2)
#define changes false
#endif
#define majority2 (until[3] > 0)
#define votes2 counts(3)

/* The record in the platform. */
byte recV = 1;
bit recState, recSet, recNext;

/* Holder: the version and the sets that it knows. */
byte hv = 1;
bit hSet, hNext, hStopped, hDeposed;
byte until[4];          /* remaining validity of the grants that it holds */
byte msg[4];            /* 0 none, 1..D renewal, D+1..2D grant, with the remaining validity */

/* Grantors. */
byte answered[4];       /* remaining time until the last answer has run out */
bit promised[4];
bit lost[4];            /* restarted under a new incarnation: the old one answers nobody */
bit restarted;          /* at most one grantor restarts */

/* Write of the holder to its own record that is under way. */
#define NONE    0
#define NEXT    1
#define PROMOTE 2
#define RESIGN  3
#define ABANDON 4
byte pw, pwExpect;

/* Two revokers: 0 idle, 1 has read the record, 2 its write is under way. */
byte rvState[2], rvExpect[2];
bit rvSet[2];

#ifdef NO_JOINT_MAJORITY
#define inLease (hSet == 0 && majority1 || hSet == 1 && majority2)
#else
#define inLease ((hSet == 1 || majority1) && (hSet == 0 && hNext == 0 || majority2))
#endif

#ifdef NO_LEASE_CHECK
#define holds (!hStopped && !hDeposed)
#else
#define holds (!hStopped && !hDeposed && inLease)
#endif

#ifdef NO_WAIT
#define counts(i) (promised[i] && !lost[i])
#else
#define counts(i) (promised[i] && !lost[i] && answered[i] == 0)
#endif

#ifdef NO_PROMISE
#define mayAnswer(i) (!lost[i])
#else
#define mayAnswer(i) (!lost[i] && !promised[i])
#endif

#ifdef NO_NEW_INCARNATION
#define restart(i) answered[i] = 0; promised[i] = 0
#else
#define restart(i) lost[i] = 1
#endif

#ifdef NO_FINAL_STOP
#define STOP 0
#else
#define STOP 1
#endif

#ifdef NO_CONDITION
#define condition(expect) true
#else
#define condition(expect) (recV == expect)
#endif

#define inForce (!hStopped && !hDeposed)
#define renews(i) (firstSet(i) && hSet == 0 || i == 3 && (hSet == 1 || hNext == 1))

inline passTime(i)
{
	if :: until[i] > 0 -> until[i]-- :: else fi;
	if :: answered[i] > 0 -> answered[i]-- :: else fi;
	/* A message whose grant has run out can do nothing any more. */
	if
	:: msg[i] == 1 || msg[i] == D + 1 -> msg[i] = 0
	:: msg[i] > 1 && msg[i] != D + 1 -> msg[i]--
	:: else
	fi
}

inline grantorSteps(i)
{
	if
	/* The holder sends a renewal; the grant counts from now. */
	:: inForce && msg[i] == 0 && !lost[i] && renews(i) -> msg[i] = D
	/* The grantor answers. */
	:: msg[i] > 0 && msg[i] <= D && mayAnswer(i) -> msg[i] = msg[i] + D; answered[i] = D
	/* The holder takes the grant. */
	:: msg[i] > D ->
		if :: until[i] < msg[i] - D -> until[i] = msg[i] - D :: else fi;
		msg[i] = 0
	/* The message is lost. */
	:: msg[i] > 0 -> msg[i] = 0
	/* The grantor votes for a revoker that has read the record. */
	:: !promised[i] && !lost[i] && (firstSet(i) || i == 3 && changes) && (rvState[0] == 1 || rvState[1] == 1) -> promised[i] = 1
#ifdef NO_MEMORY
	/* The grantor forgets its promise with the record. */
	:: promised[i] && recState == REVOKED -> promised[i] = 0
#endif
	/* The grantor restarts. Those of the first set are alike, so one of them is enough. */
	:: !restarted && (i == 0 || i == 3 && changes) -> restarted = 1; restart(i)
	fi
}

inline revokerSteps(r)
{
	if
	/* Read the record. A revoker that learns of a change starts over. */
	:: rvState[r] < 2 && recState == LIVE && (rvState[r] == 0 || rvExpect[r] != recV) ->
		rvState[r] = 1; rvExpect[r] = recV; rvSet[r] = recSet
	/* A majority of the votes counts: send the write. */
	:: rvState[r] == 1 && (rvSet[r] == 0 && votes1 || rvSet[r] == 1 && votes2) -> rvState[r] = 2
	/* The platform takes the write; whether its answer arrives makes no difference. */
	:: rvState[r] == 2 ->
		if
		:: recState == LIVE && condition(rvExpect[r]) && recV < MAXV -> recV++; recState = REVOKED
		:: else
		fi;
		rvState[r] = 0; rvExpect[r] = 0; rvSet[r] = 0
	/* The write is lost. */
	:: rvState[r] == 2 -> rvState[r] = 0; rvExpect[r] = 0; rvSet[r] = 0
	fi
}

inline writeRecord()
{
	recV++;
	if
	:: pw == NEXT -> recNext = 1
	:: pw == PROMOTE -> recSet = 1; recNext = 0
	:: pw == ABANDON -> recNext = 0
	:: pw == RESIGN -> recState = REVOKED
	fi
}

inline holderSteps()
{
	if
	/* Write the next set of grantors. */
	:: changes && pw == NONE && inForce && hSet == 0 && !hNext -> pw = NEXT; pwExpect = hv
	/* Both sets have granted: make the next one current. */
	:: pw == NONE && inForce && hNext && majority1 && majority2 -> pw = PROMOTE; pwExpect = hv
	/* Give the change up. An earlier promotion may still be under way. */
	:: pw == NONE && inForce && hNext -> pw = ABANDON; pwExpect = hv
	/* The lease ran out: stop for good and write that the incarnation is over. */
	:: pw == NONE && !hDeposed && !inLease -> hStopped = STOP; pw = RESIGN; pwExpect = hv
	/* The platform takes the write. */
	:: pw != NONE ->
		if
		:: recState == LIVE && condition(pwExpect) && recV < MAXV -> writeRecord()
		:: else
		fi;
		pw = NONE; pwExpect = 0
	/* The write is lost. */
	:: pw != NONE -> pw = NONE; pwExpect = 0
	/* Read the record, or get the answer to a write. */
	:: hv != recV ->
		hv = recV;
		if
		:: recState == REVOKED -> hDeposed = 1; hSet = 0; hNext = 0
		:: else -> hSet = recSet; hNext = recNext
		fi
	fi
}

init {
	d_step {
		until[0] = D; answered[0] = D;
		if
		:: firstSet(1) -> until[1] = D; answered[1] = D; until[2] = D; answered[2] = D
		:: else
		fi
	}
	/* Nothing can go wrong after the holder has stopped for good. */
	{
end:	do
	:: atomic { passTime(0); passTime(1); passTime(2); passTime(3) }
	:: atomic { grantorSteps(0) }
	:: atomic { grantorSteps(1) }
	:: atomic { grantorSteps(2) }
	:: atomic { grantorSteps(3) }
	:: atomic { revokerSteps(0) }
	:: atomic { revokerSteps(1) }
	:: atomic { holderSteps() }
	od
	} unless { !inForce }
}

active proctype NoLeaseAfterRevocation() {
end:
	atomic { (recState == REVOKED && holds) -> assert(false) }
}
