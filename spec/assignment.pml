/*
 * The assignment of one slice to three nodes: takeover, handover, two coordinators, and the views that
 * nodes have of it. Node 1 may lose its lease and be revoked; lease.pml shows that it does not serve
 * from then on. README.md maps the steps to the code.
 *
 * The structure is that of lease.pml. Each define of the form NO_... removes one guard.
 */

#define MAXV 4                      /* versions of the slice */

/* The platform. The content of a version of the slice is found under the version. */
byte sliceV = 1;
byte owner[MAXV + 1], next[MAXV + 1], epoch[MAXV + 1];
bit revoked;                        /* the record of node 1 */

/* Two coordinators: the write under way and the version that it expects. */
#define NONE 0
#define TAKE 1
#define MOVE 2
byte cw[2], cwExpect[2], cwTo[2];

/* Views of the nodes 1 to 3, their handover writes under way (0 none), and running requests. */
byte view[4], ow[4];
bit running[4];

#ifdef NO_FORWARD
#define mayFollow(n) true
#else
#define mayFollow(n) (view[n] < view[1 + n % 3])
#endif

#ifdef NO_CONDITION
#define condition(expect) true
#else
#define condition(expect) (sliceV == expect)
#endif

#ifdef NO_IDLE
#define idle(n) true
#else
#define idle(n) (!running[n])
#endif

#ifdef NO_REVOCATION
#define gone true
#else
#define gone revoked
#endif

#define admits(n) (owner[view[n]] == n && next[view[n]] == 0)
#define serves1 (!revoked && (admits(1) || running[1]))
#define serves2 (admits(2) || running[2])
#define serves3 (admits(3) || running[3])

inline writeSlice(expect, newOwner, newNext, raise)
{
	if
	:: condition(expect) && sliceV < MAXV ->
		sliceV++;
		owner[sliceV] = newOwner;
		next[sliceV] = newNext;
		epoch[sliceV] = epoch[expect] + raise;
		/* An assignment is never lost: the epoch grows with each change of owner and never falls. */
		assert(epoch[sliceV] == epoch[sliceV - 1] + raise);
		assert(raise == 1 || owner[sliceV] == owner[sliceV - 1])
	:: else
	fi
}

inline dropPlan(c)
{
	cw[c] = NONE; cwExpect[c] = 0; cwTo[c] = 0
}

inline coordinatorSteps(c)
{
	if
	/* Take the slice from a revoked owner. */
	:: cw[c] == NONE && gone && owner[sliceV] == 1 ->
		cw[c] = TAKE; cwExpect[c] = sliceV;
		if :: cwTo[c] = 2 :: cwTo[c] = 3 fi
	/* Plan a handover, or change one that is planned. */
	:: cw[c] == NONE ->
		cw[c] = MOVE; cwExpect[c] = sliceV;
		if
		:: owner[sliceV] != 1 && !revoked -> cwTo[c] = 1
		:: owner[sliceV] != 2 -> cwTo[c] = 2
		:: owner[sliceV] != 3 -> cwTo[c] = 3
		:: next[sliceV] != 0 -> cwTo[c] = 0
		fi
	/* The platform takes the write. */
	:: cw[c] == TAKE -> writeSlice(cwExpect[c], cwTo[c], 0, 1); dropPlan(c)
	:: cw[c] == MOVE -> writeSlice(cwExpect[c], owner[cwExpect[c]], cwTo[c], 0); dropPlan(c)
	/* The write is lost. */
	:: cw[c] != NONE -> dropPlan(c)
	fi
}

inline nodeSteps(n)
{
	if
	/* The node learns the newest objects from the platform, or gets the answer to a write. */
	:: view[n] < sliceV -> view[n] = sliceV
	/* The node learns of objects from another node, which may be behind. */
	:: view[n] != view[1 + n % 3] && mayFollow(n) -> view[n] = view[1 + n % 3]
	/* A request is admitted; a request ends. */
	:: admits(n) && !running[n] && !(n == 1 && revoked) -> running[n] = 1
	:: running[n] -> running[n] = 0
	/* The owner writes the next owner when nothing runs. */
	:: owner[view[n]] == n && next[view[n]] != 0 && idle(n) && ow[n] == 0 -> ow[n] = view[n]
	/* The platform takes the write. */
	:: ow[n] != 0 -> writeSlice(ow[n], next[ow[n]], 0, 1); ow[n] = 0
	/* The write is lost. */
	:: ow[n] != 0 -> ow[n] = 0
	fi
}

init {
	d_step {
		owner[1] = 1; epoch[1] = 1;
		view[1] = 1; view[2] = 1; view[3] = 1
	}
end:
	do
	:: atomic { !revoked -> revoked = 1; running[1] = 0 }
	:: atomic { coordinatorSteps(0) }
	:: atomic { coordinatorSteps(1) }
	:: atomic { nodeSteps(1) }
	:: atomic { nodeSteps(2) }
	:: atomic { nodeSteps(3) }
	od
}

active proctype SingleOwner() {
end:
	atomic { (serves1 && serves2 || serves1 && serves3 || serves2 && serves3) -> assert(false) }
}
