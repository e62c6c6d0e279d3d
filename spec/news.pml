/* How hosted instances learn of a configuration, and when they may deny a route.
 *
 * The store accepts versions. An instance reads the store, or asks another one,
 * which tells the version that it has in force and how old the read was that
 * showed this to be the newest. Calls take time, an instance may stand still
 * between any two steps, is replaced, and any call may fail.
 *
 * Checked: the version in force never goes back in one incarnation; a version
 * that is said to have been the newest at some moment was; a route that the
 * version in force lacks is denied only by an instance that has every version
 * that was accepted BOUND or longer ago.
 *
 * BROKEN: ACCEPT_LOWER      an instance takes whatever it is told
 * BROKEN: AGE_FROM_END      a read counts from its end, not from its beginning
 * BROKEN: AGE_FROM_ARRIVAL  told news count from when they arrive
 * BROKEN: ALWAYS_DENY       a route is denied whatever the age of the last read
 */
#define INSTANCES 2
#define VERSIONS  2      /* accepted in all; the first is there at the start */
#define END       5      /* ticks */
#define BOUND     3      /* ticks within which a version must be in force */
#define FRESH     2      /* kernel/catalog: Settings.ConfigFreshFor, shorter than BOUND */
#define RESTARTS  1
#define NONE      255

byte now;
byte cur = 1;                /* the store's version */
byte since[VERSIONS + 1];    /* when a version was accepted */
byte restarts;

byte held[INSTANCES];        /* version in force; 0: none */
byte as_of[INSTANCES] = NONE; /* when the last good read began */

/* A call under way: to the store (read) or to another instance (ask). */
bool read[INSTANCES], ask[INSTANCES], told[INSTANCES];
byte began[INSTANCES];       /* when the call began */
byte seen[INSTANCES];        /* the store's version then, or the one that was told */
byte age[INSTANCES];         /* of what was told */

/* A call is over: what it left behind must not tell states apart. */
inline over(i) {
	read[i] = false; ask[i] = false; told[i] = false;
	began[i] = 0; seen[i] = 0; age[i] = 0
}

/* catalog.ApplyConfig */
inline take(i, version, at) {
#ifdef ACCEPT_LOWER
	assert(version >= held[i]);
	held[i] = version;
	as_of[i] = at;
#else
	if
	:: version > held[i] -> held[i] = version; as_of[i] = (as_of[i] == NONE || at > as_of[i] -> at : as_of[i])
	:: version == held[i] && (as_of[i] == NONE || at > as_of[i]) -> as_of[i] = at
	:: else -> skip
	fi;
#endif
	/* What was the newest at as_of is in force. */
	assert(as_of[i] == NONE || held[i] == VERSIONS || since[held[i] + 1] == NONE || since[held[i] + 1] >= as_of[i])
}

active proctype world() {
	byte i, j, v;
	for (v : 0 .. VERSIONS) { since[v] = NONE };
	since[1] = 0;
	v = 0;
end:
	do
	:: now < END -> now++
	/* An operator's change is accepted. */
	:: cur < VERSIONS -> atomic { cur++; since[cur] = now }
	/* control.readConfig: the answer is the store's word at some moment of the call. */
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
		:: !read[i] && !ask[i] -> read[i] = true; began[i] = now; seen[i] = cur
		:: read[i] ->
			if
			:: true -> v = seen[i]
			:: true -> v = cur
			fi;
#ifdef AGE_FROM_END
			take(i, v, now);
#else
			take(i, v, began[i]);
#endif
			over(i)
		:: read[i] -> over(i)   /* it failed */
		:: else -> skip
		fi; i = 0; v = 0 }
	/* control.syncFrom: the call begins, the other instance answers, the answer arrives. */
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		j = INSTANCES - 1 - i;
		if
		:: !read[i] && !ask[i] -> ask[i] = true; told[i] = false; began[i] = now
		:: ask[i] && !told[i] && as_of[j] != NONE ->
			told[i] = true; seen[i] = held[j]; age[i] = now - as_of[j]
		:: ask[i] && told[i] && began[i] >= age[i] ->
#ifdef AGE_FROM_ARRIVAL
			take(i, seen[i], now - age[i]);
#else
			take(i, seen[i], began[i] - age[i]);
#endif
			over(i)
		:: ask[i] -> over(i)    /* it failed, or is older than the clock here */
		:: else -> skip
		fi; i = 0; j = 0 }
	/* gateway.newNoRoute */
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
#ifdef ALWAYS_DENY
		:: as_of[i] != NONE ->
#else
		:: as_of[i] != NONE && now - as_of[i] <= FRESH ->
#endif
			assert(held[i] == VERSIONS || since[held[i] + 1] == NONE || since[held[i] + 1] + BOUND > now)
		:: else -> skip
		fi; i = 0 }
	/* An instance is replaced. */
	:: restarts < RESTARTS -> atomic {
		restarts++;
		select(i : 0 .. INSTANCES - 1);
		held[i] = 0; as_of[i] = NONE; over(i); i = 0 }
	od
}
