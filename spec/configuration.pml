/*
 * The configuration: two operators patch it, and two nodes follow the platform or each other. Proved
 * here: an accepted patch is in every later configuration, and no node goes back to an older one.
 *
 * A configuration is the set of the accepted patches. Each define of the form NO_... removes one guard.
 */

#define MAXV 5                      /* versions of the configuration */

byte current;                       /* version in the platform */
byte content[MAXV + 1];             /* bit set of the patches in each version */
byte accepted;                      /* patches whose write took effect */

/* Operators: the version that the write under way expects plus one, 0 none. */
byte expects[2];
byte patches;                       /* patches made so far; each has a bit of its own */
byte patchOf[2];
byte view[2];

#ifdef NO_FORWARD
#define mayFollow(n) true
#else
#define mayFollow(n) (view[n] < view[1 - n])
#endif

#ifdef NO_CONDITION
#define condition(version) true
#else
#define condition(version) (current == version)
#endif

inline operatorSteps(o)
{
	if
	/* Patch a version that was read; the write is under way. */
	:: expects[o] == 0 && patches < MAXV -> expects[o] = current + 1; patchOf[o] = 1 << patches; patches++
	/* The platform takes the write. The answer may be lost: the patch is accepted all the same. */
	:: expects[o] != 0 ->
		if
		:: condition(expects[o] - 1) && current < MAXV ->
			content[current + 1] = content[expects[o] - 1] | patchOf[o];
			current++;
			accepted = accepted | patchOf[o];
			assert((content[current] & accepted) == accepted)
		:: else
		fi;
		expects[o] = 0; patchOf[o] = 0
	/* The write is lost. */
	:: expects[o] != 0 -> expects[o] = 0; patchOf[o] = 0
	fi
}

inline follow(n, version)
{
	assert((content[version] & content[view[n]]) == content[view[n]]);
	view[n] = version
}

inline nodeSteps(n)
{
	if
	:: view[n] < current -> follow(n, current)
	:: view[n] != view[1 - n] && mayFollow(n) -> follow(n, view[1 - n])
	fi
}

init {
end:
	do
	:: atomic { operatorSteps(0) }
	:: atomic { operatorSteps(1) }
	:: atomic { nodeSteps(0) }
	:: atomic { nodeSteps(1) }
	od
}
