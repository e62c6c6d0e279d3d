/* How the configuration is saved and spreads.
 *
 * The store holds one object, whose version is the generation. Operators save
 * over the version that their form was opened with; replies are lost, writes
 * land late, reads and watches are as stale as they like, peers tell what they
 * ever held, entries are replaced, and the store goes away for good.
 *
 * Checked: an entry never takes a lower generation and never holds one that
 * the store does not have; a save replaces only the version that it names; an
 * outcome that was told is true for ever; at rest all live entries hold the
 * highest generation that any of them holds, and the store's if it is up.
 *
 * BROKEN: ACCEPT_LOWER           an entry takes whatever it is told
 * BROKEN: LOST_REPLY_IS_FAILURE  a lost reply is called "refused"
 * BROKEN: UNCONDITIONAL_SAVE     a save does not name a version
 * BROKEN: NEWEST_NONCE_ONLY      a read-back looks at the newest save only
 * BROKEN: CONFLICT_IS_PROOF      a conflict after a lost reply is called "lost the race"
 * BROKEN: NO_PEERS               entries ask the store only
 */
#define ENTRIES  3
#define SAVES    2
#define MAXGEN   3      /* the first document and one generation a save */
#define RESTARTS 2

mtype = { idle, putting, unsettled, told_unknown, accepted, conflict, refused };

byte cur = 1;           /* the store's version */
byte who[MAXGEN + 1];   /* the save that wrote a generation; SAVES: none of ours */
byte held[ENTRIES];     /* generation in force; 0: no document */
byte told;              /* highest generation that any entry ever told a peer */
mtype st[SAVES] = idle;
byte base[SAVES];       /* the version that a save names */
byte at[SAVES];         /* the entry that saves */
bool lost[SAVES];       /* the reply of a try was lost */
bool late[SAVES];       /* a write is under way that may still land */
bool down;              /* the store is gone */
byte restarts;
bool rest;

/* kernel/rollout: Machine.consider */
inline consider(e, g) {
	if
#ifdef ACCEPT_LOWER
	:: g > 0 -> assert(g >= held[e]); held[e] = g
#else
	:: g > held[e] -> held[e] = g
#endif
	:: else -> skip
	fi;
	assert(held[e] <= cur);
	told = (held[e] > told -> held[e] : told)
}

/* The store's conditional update; ok says whether it took effect. */
inline write(s, ok) {
	if
#ifdef UNCONDITIONAL_SAVE
	:: cur < MAXGEN ->
		assert(base[s] == cur);
#else
	:: cur == base[s] ->
#endif
		assert(st[s] != conflict && st[s] != refused);
		cur++;
		who[cur] = s;
		ok = true
	:: else -> ok = false
	fi
}

/* kernel/rollout: stateInHistory, on the history of generation g. The save that replaced
 * the version base[s] wrote generation base[s] + 1. */
inline settle(s, g) {
	if
#ifdef NEWEST_NONCE_ONLY
	:: g > base[s] && who[g] == s -> st[s] = accepted
	:: g > base[s] && who[g] != s -> tell_conflict(s)
#else
	:: g > base[s] && who[base[s] + 1] == s -> st[s] = accepted
	:: g > base[s] && who[base[s] + 1] != s -> tell_conflict(s)
#endif
	/* Machine.handleUnsettled: trying again is safe, since one try at most can
	 * replace the version. */
	:: g <= base[s] && st[s] == unsettled -> st[s] = putting
	:: else -> skip
	fi
}

inline tell_conflict(s) {
	assert(cur > base[s] && who[base[s] + 1] != s);
	st[s] = conflict
}

/* Machine.readBack */
inline reply_lost(s) {
	lost[s] = true;
#ifdef LOST_REPLY_IS_FAILURE
	assert(!late[s] && (cur <= base[s] || who[base[s] + 1] != s));
	st[s] = refused
#else
	st[s] = unsettled
#endif
}

active proctype world() {
	byte e, p, g, s, i;
	bool ok, done;
	for (i : 0 .. MAXGEN) { who[i] = SAVES }
end:
	do
	/* Machine.submit: a form was opened at some version. */
	:: !rest -> atomic {
		select(s : 0 .. SAVES - 1);
		if
		:: st[s] == idle && (s == 0 || st[s - 1] != idle) -> /* saves are alike: in order */
			select(g : 1 .. cur);
			select(e : 0 .. ENTRIES - 1);
			base[s] = g; at[s] = e;
			if
			:: g < held[e] -> tell_conflict(s)
			:: else -> st[s] = putting
			fi
		:: else -> skip
		fi; g = 0; e = 0; s = 0 }
	/* A try of a write and what becomes of its reply. */
	:: !rest -> atomic {
		select(s : 0 .. SAVES - 1);
		if
		:: st[s] == putting && !down -> /* a reply */
			write(s, ok);
			if
			:: ok -> st[s] = accepted; consider(at[s], cur)
#ifdef CONFLICT_IS_PROOF
			:: !ok -> tell_conflict(s)
#else
			:: !ok && !lost[s] -> tell_conflict(s)
			:: !ok && lost[s] -> st[s] = unsettled
#endif
			fi
		:: st[s] == putting && !down -> write(s, ok); reply_lost(s)
		:: st[s] == putting && !down -> late[s] = true; reply_lost(s)
		:: st[s] == putting -> reply_lost(s) /* it never arrives */
		:: st[s] == putting && !lost[s] -> st[s] = refused
		:: late[s] -> late[s] = false; write(s, ok) /* it lands late */
		:: st[s] == unsettled -> st[s] = told_unknown
		:: else -> skip
		fi; s = 0; ok = false }
	/* A read, however stale, at the entry that saves; a watch is the same. */
	:: !rest && !down -> atomic {
		select(g : 1 .. cur);
		select(e : 0 .. ENTRIES - 1);
		consider(e, g);
		for (s : 0 .. SAVES - 1) {
			if
			:: at[s] == e && (st[s] == unsettled || st[s] == told_unknown) -> settle(s, g)
			:: else -> skip
			fi
		}; g = 0; e = 0; s = 0 }
#ifndef NO_PEERS
	/* A peer's document, which may have been long under way. */
	:: !rest -> atomic {
		select(e : 0 .. ENTRIES - 1);
		select(g : 0 .. told);
		consider(e, g); g = 0; e = 0 }
#endif
	:: !rest && restarts < RESTARTS -> atomic {
		restarts++;
		select(e : 0 .. ENTRIES - 1);
		held[e] = 0; e = 0 }
	:: !rest && !down -> down = true
	/* Rest: faults end, and what was started comes to its end. */
	:: !rest -> atomic {
		rest = true;
		for (e : 0 .. ENTRIES - 1) {
			if
			:: !down -> consider(e, cur)
			:: else -> skip
			fi
		}
#ifndef NO_PEERS
		for (e : 0 .. ENTRIES - 1) {
			for (p : 0 .. ENTRIES - 1) { consider(e, held[p]) }
		}
#endif
		for (e : 0 .. ENTRIES - 1) {
			assert(down || held[e] == cur);
			for (p : 0 .. ENTRIES - 1) { assert(held[e] >= held[p]) }
		}; e = 0; p = 0 }
	od
}
