/*
 * The claim ledger for one key. Three entries each hold one request with the same key: a
 * request and its resends. The store has the key's record under a version and takes
 * conditional writes. A write's reply can be lost, its effect can come late, a read can be
 * stale, the store can be out. An entry can be killed or paused at any step: it is never, or
 * later, scheduled again. A read, the decision on it and the sending of a write are one step.
 * Proved: the key never runs twice; a request that is answered not_run has not
 * run and never will; a recorded result is that of the one execution; an entry
 * that has ended leaves no claim of its own that never ran.
 * BROKEN: DISPATCH_BEFORE_CLAIM
 * BROKEN: RETRY_AFTER_UNKNOWN
 * BROKEN: LOST_REPLY_IS_FAILURE
 * BROKEN: LOST_REPLY_IS_SUCCESS
 * BROKEN: TAKEOVER_ON_EXPIRY
 * BROKEN: READ_BACK_ENDS_DOUBT
 */
#define NOBODY 0
#define ENTRIES 3	/* numbered from 1 */
#define WRITES 5	/* most writes of all; an entry without one left counts as killed */

mtype = { OK, CONFLICT, REFUSED, LOST };		/* replies to a write */
mtype = { NOT_RUN, COMPLETE, UNKNOWN, HELD, RECORDED };	/* answers */

typedef Record { byte version; byte holder; bool done };
typedef Write { bool sent; byte base; byte holder; bool done };

Record store;			/* the present */
Record stale;			/* one write before */
Write  net[ENTRIES + 1];	/* the write whose reply an entry awaits */
Write  late[ENTRIES + 1];	/* a write that may land though its reply was lost */
mtype  reply[ENTRIES + 1], answer[ENTRIES + 1];
bool   ran[ENTRIES + 1], ended[ENTRIES + 1];
byte   runs, writes;
byte   begun;			/* entries that have begun */
hidden byte  readable;		/* these are used within one step only */
hidden mtype r, told;

#define copy(a, b) a.version = b.version; a.holder = b.holder; a.done = b.done
#define forget(w) w.sent = false; w.base = 0; w.holder = 0; w.done = false
#define held	(readable && seen.holder != me && seen.holder != NOBODY)
#define free	(readable && seen.holder == NOBODY)
#define mine	(readable && seen.holder == me)

/* Reads the bucket; not readable in an outage, or when older than seen before. */
inline read_bucket() {
	readable = true;
	if
	:: true -> copy(seen, store)
	:: stale.version != store.version -> copy(seen, stale)
	:: readable = false
	fi;
	if :: readable && seen.version >= floor -> floor = seen.version :: else -> readable = false fi;
	if
#ifdef READ_BACK_ENDS_DOUBT
	:: readable -> doubt = false; base = 0
#else
	:: readable && seen.version > base -> doubt = false; base = 0
#endif
	:: else
	fi
}
/* Sends a write that is conditional on the version seen. */
inline send(who, isdone) {
	if :: writes == WRITES -> goto killed :: else -> writes++ fi;
	net[me].sent = true; net[me].base = seen.version; net[me].holder = who; net[me].done = isdone;
	seen.holder = 0; seen.done = false
}
/* Takes the reply in r. */
inline await_reply() {
	reply[me] != 0;
	r = reply[me]; reply[me] = 0;
	if
	:: r == LOST -> doubt = true; base = seen.version
	:: r == OK -> doubt = false; base = 0; floor = seen.version + 1
	:: r == CONFLICT -> floor = seen.version + 1
	:: else
	fi;
	seen.version = 0
}
inline give_answer(a) {
	assert(answer[me] == 0 && (a != NOT_RUN || !ran[me]) && (a != RECORDED || runs == 1));
	answer[me] = (a == NOT_RUN -> NOT_RUN : COMPLETE)	/* all that is asked later */
}
active [ENTRIES] proctype Entry() {
	byte me = _pid + 1;
	Record seen;
	byte floor, base;
	bool doubt;
	/* Entries are alike: let them begin in the order of their numbers. */
	begun == me - 1;
claim:	atomic {
		if :: begun < me -> begun = me :: else fi;
		read_bucket();
		if
		:: !readable -> goto refuse
		:: mine -> goto granted
		:: held && seen.done -> give_answer(RECORDED); goto end
		:: held && !seen.done -> give_answer(HELD); goto end
#ifdef TAKEOVER_ON_EXPIRY
		:: held && !seen.done -> skip
#endif
		:: free -> skip
		:: free -> goto refuse	/* timed out */
		fi;
		send(me, false)
	};
#ifdef DISPATCH_BEFORE_CLAIM
	goto granted;
#endif
	atomic {
		await_reply();
		if
		:: r == OK -> goto granted
		:: r == CONFLICT -> goto claim
		:: r == REFUSED -> goto refuse
#ifdef LOST_REPLY_IS_FAILURE
		:: r == LOST -> doubt = false; goto refuse
#elif defined(LOST_REPLY_IS_SUCCESS)
		:: r == LOST -> goto granted
#else
		:: r == LOST -> goto claim
#endif
		fi
	};
refuse:	atomic {	/* at once, also while a write may still land */
		give_answer(NOT_RUN);
		if :: doubt -> goto release :: else -> goto end fi
	};
granted: if	/* the deadline is checked; a pause may follow */
	:: atomic { give_answer(NOT_RUN); goto release }	/* it passed, or no leaf took it */
	:: true
	fi;
	atomic { assert(answer[me] == 0); runs++; ran[me] = true; assert(runs <= 1) };
	atomic { give_answer(UNKNOWN) };	/* or complete, which is the same here */
#ifdef RETRY_AFTER_UNKNOWN
	goto release;
#endif
settle:	atomic {
		read_bucket();
		if
		:: !readable -> goto settle
		:: mine && seen.done -> goto end
		:: mine && !seen.done -> skip
		:: held || free -> assert(false)
		fi;
		send(me, true)
	};
	atomic { await_reply(); if :: r == OK -> goto end :: else -> goto settle fi };
release: atomic {
		read_bucket();
		if
		:: !readable -> goto release
		:: mine -> send(NOBODY, false)
		:: (held || free) && !doubt -> goto end
		:: (held || free) && doubt -> send(seen.holder, seen.done)
		fi
	};
	atomic { await_reply(); if :: r == OK -> goto end :: else -> goto release fi };
end:	atomic { ended[me] = true; assert(store.holder != me || ran[me]) };
killed:	atomic { seen.version = 0; seen.holder = 0; seen.done = false; floor = 0; base = 0; doubt = false }
}
/* Applies a write if the bucket still stands at its base. */
inline apply(w) {
	if
	:: store.version == w.base ->
		assert(w.holder == NOBODY || !ended[w.holder] || ran[w.holder]);
		copy(stale, store);
		store.version++; store.holder = w.holder; store.done = w.done;
		told = OK
	:: else -> told = CONFLICT
	fi
}
active proctype Network() {
	unsigned i : 2;
end:	do
	:: atomic {
		if
		:: net[1].sent || late[1].sent -> i = 1 :: net[2].sent || late[2].sent -> i = 2
		:: net[3].sent || late[3].sent -> i = 3
		fi;
		if
		:: net[i].sent ->
			if
			:: true -> apply(net[i])		/* effect and reply */
			:: true -> apply(net[i]); told = LOST	/* the reply is lost */
			:: told = LOST				/* the write is lost */
			:: told = REFUSED			/* an outage */
			:: !late[i].sent -> told = LOST;	/* it lands later */
				late[i].sent = true; late[i].base = net[i].base;
				late[i].holder = net[i].holder; late[i].done = net[i].done
			fi;
			reply[i] = told; forget(net[i])
		:: late[i].sent ->
			apply(late[i]); forget(late[i])
		fi;
		i = 0
	}
	od
}
