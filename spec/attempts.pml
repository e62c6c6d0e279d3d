/* Attempts of one query: an entry asks two parts of leaves that run, decline,
 * break, answer late, twice or at another version than asked. It shows that
 *  - a part has at most one accepted reply at a version, and it is its own;
 *  - an answer holds bodies of one version only;
 *  - "not run" is answered only if no leaf ran the request, nor ever will;
 *  - a non-idempotent request runs at most once.
 * docs/design/query.md names the function behind each step.
 *
 * BROKEN: ACCEPT_LATE          a reply counts after its attempt has ended
 * BROKEN: ACCEPT_CROSSED       a reply counts for another attempt
 * BROKEN: MIX_VERSIONS         a reply counts at a version that it does not state
 * BROKEN: NOTRUN_AFTER_BROKEN  a broken attempt counts as not run
 * BROKEN: NOTRUN_ABANDONED     an attempt withdrawn after it was sent counts as not run
 * BROKEN: RETRY_UNPROVED       a non-idempotent attempt is retried after it broke
 * BROKEN: SEND_RECALLED        the runtime sends what was withdrawn
 */
#define PARTS 2
#define VERSIONS 2
#define ATTEMPTS 4
#define AT(p, v) ((p) * VERSIONS + (v))

mtype = { Free, Queued, Sent, Declined, NotSent, Replied, Broken, Recalled, Abandoned };
mtype = { Away, Replies, RepliesAgain, Declines, Gone };
mtype = { Open, Complete, Partial, NotRun, Unknown, Failed };

mtype state[ATTEMPTS] = Free; /* as the entry sees the attempt */
mtype leaf[ATTEMPTS] = Away;  /* as it is at the leaf */
byte part[ATTEMPTS];
byte asked[ATTEMPTS];         /* version asked */
byte stated[ATTEMPTS];        /* version of the leaf's reply */
byte accepted[4];             /* AT(part, version): replies accepted */
byte bodyVersion[4];
byte bodyPart[4];
byte used = 0;                /* attempts offered */
byte ran = 0;                 /* runs on leaves */
byte pinned = 0;
bool idempotent;
mtype outcome = Open;
hidden byte i, k, x, best;      /* scratch within one step */

#define LIVE(a) (state[a] == Queued || state[a] == Sent)

inline offer(p) {
	if
	:: used < ATTEMPTS -> state[used] = Queued; part[used] = p; asked[used] = pinned; used++
	:: else /* given up */
	fi
}

inline withdraw(a) {
	if
	:: state[a] == Queued -> state[a] = Recalled
	:: state[a] == Sent -> state[a] = Abandoned
	:: else
	fi
}

/* offers a part again unless it is covered or another attempt of it is live */
inline retry(p) {
	k = 0;
	do :: k < ATTEMPTS && !(LIVE(k) && part[k] == p) -> k++ :: else -> break od;
	if
	:: k == ATTEMPTS && accepted[AT(p, pinned)] == 0 -> offer(p)
	:: else
	fi
}

/* takes the reply of attempt a in for attempt b */
inline accept(a, b) {
	state[b] = Replied;
#ifdef MIX_VERSIONS
	best = pinned;
#else
	best = stated[a];
#endif
	if
#ifndef MIX_VERSIONS
	:: stated[a] != asked[b] -> /* not what was asked: dropped */
		if :: idempotent -> retry(part[b]) :: true fi
#endif
	:: else ->
		accepted[AT(part[b], best)]++;
		bodyVersion[AT(part[b], best)] = stated[a];
		bodyPart[AT(part[b], best)] = part[a];
		assert(accepted[AT(part[b], best)] <= 1);
		assert(bodyPart[AT(part[b], best)] == part[b]);
		k = 0;
		do
		:: k < ATTEMPTS -> if :: LIVE(k) && part[k] == part[b] -> withdraw(k) :: else fi; k++
		:: else -> break
		od
	fi;
	best = 0
}

/* the only place that decides an outcome */
inline derive() {
	best = 0;
	if
	:: accepted[AT(0, 1)] + accepted[AT(1, 1)] > accepted[AT(0, 0)] + accepted[AT(1, 0)] -> best = 1
	:: else
	fi;
	i = 0;
	do :: i < ATTEMPTS -> withdraw(i); i++ :: else -> break od;
	if
	:: accepted[AT(0, best)] && (accepted[AT(1, best)] || !idempotent) -> outcome = Complete
	:: else ->
		if
		:: accepted[AT(0, best)] || accepted[AT(1, best)] -> outcome = Partial
		:: else ->
			outcome = NotRun;
			i = 0;
			do
			:: i < ATTEMPTS ->
				if
#ifndef NOTRUN_AFTER_BROKEN
				:: state[i] == Broken -> outcome = (idempotent -> Failed : Unknown)
#endif
#ifndef NOTRUN_ABANDONED
				:: state[i] == Abandoned -> outcome = (idempotent -> Failed : Unknown)
#endif
				:: state[i] == Replied -> outcome = (idempotent -> Failed : Unknown)
				:: else
				fi;
				i++
			:: else -> break
			od
		fi
	fi;
	assert(outcome != NotRun || ran == 0);
	assert(!accepted[AT(0, best)] || bodyVersion[AT(0, best)] == best);
	assert(!accepted[AT(1, best)] || bodyVersion[AT(1, best)] == best);
	pinned = 0; /* from here on only runs matter: forget the rest */
	i = 0;
	do
	:: i < ATTEMPTS ->
		if :: leaf[i] != Away -> leaf[i] = Gone :: else fi;
		stated[i] = 0; asked[i] = 0; part[i] = 0;
		accepted[i] = 0; bodyVersion[i] = 0; bodyPart[i] = 0;
		i++
	:: else -> break
	od
}

/* one step of attempt a, at the entry, at its leaf, or on the way */
inline step(a) {
	if
	:: state[a] == Queued -> state[a] = Sent
	:: state[a] == Queued -> state[a] = NotSent; if :: retry(part[a]) :: true fi
#ifdef SEND_RECALLED
	:: state[a] == Recalled -> state[a] = Sent
#endif
	:: (state[a] == Sent || state[a] == Abandoned || state[a] == Broken) && leaf[a] == Away -> /* it runs */
		ran++;
		assert(idempotent || ran <= 1);
		assert(outcome != NotRun);
		leaf[a] = (outcome == Open -> Replies : Gone);
		if :: outcome != Open :: outcome == Open -> stated[a] = asked[a] :: outcome == Open -> stated[a] = 1 - asked[a] fi
	:: state[a] == Sent && leaf[a] == Away -> leaf[a] = Declines
	:: outcome == Open && leaf[a] == Declines && state[a] == Sent ->
		state[a] = Declined; leaf[a] = Gone; if :: retry(part[a]) :: true fi
	:: outcome == Open && leaf[a] == Replies && state[a] == Sent ->
		if :: leaf[a] = Gone :: leaf[a] = RepliesAgain fi;
		accept(a, a)
#ifdef ACCEPT_LATE
	:: outcome == Open && ((leaf[a] == Replies && state[a] == Abandoned) || leaf[a] == RepliesAgain) -> leaf[a] = Gone; accept(a, a)
#else
	:: (leaf[a] == Replies && state[a] != Sent) || leaf[a] == RepliesAgain -> leaf[a] = Gone /* late or repeated: dropped */
		stated[a] = 0
#endif
#ifdef ACCEPT_CROSSED
	:: outcome == Open && (leaf[a] == Replies || leaf[a] == RepliesAgain) && a > 0 && state[a - 1] == Sent -> leaf[a] = Gone; accept(a, a - 1)
#endif
	:: outcome == Open && state[a] == Sent -> /* the connection breaks, before or after the run */
		state[a] = Broken;
#ifdef RETRY_UNPROVED
		if :: retry(part[a]) :: true fi
#else
		if :: idempotent -> retry(part[a]) :: true fi
#endif
	:: outcome == Open && state[a] == Sent && idempotent && used < ATTEMPTS && accepted[AT(part[a], pinned)] == 0 ->
		offer(part[a]) /* a hedge */
	:: else /* nothing can happen to it now */
	fi
}

active proctype query() {
	atomic { if :: idempotent = true :: idempotent = false fi; offer(0); if :: idempotent -> offer(1) :: else fi }
end:	do
	:: atomic { if :: x = 0 :: used > 1 -> x = 1 :: used > 2 -> x = 2 :: used > 3 -> x = 3 fi; step(x) }
	:: atomic { outcome == Open && idempotent && pinned == 0 -> /* the query moves as a whole */
		i = 0;
		do :: i < ATTEMPTS -> withdraw(i); i++ :: else -> break od;
		i = 0; pinned = 1; offer(0); offer(1) }
	:: atomic { outcome == Open -> derive() }
	od
}
