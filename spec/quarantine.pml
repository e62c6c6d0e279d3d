/* Probes of a request that crashes each leaf which runs it.
 *
 * The request has crashed enough leaves to be a suspect. An instance runs a suspect
 * alone on a leaf, a probe, only after it has written the probe's number to the
 * store, on the condition that nobody else has written there since it last knew.
 * The record says that the request is refused until a quarantine has passed, the
 * last one for the rest of the day. Instances tell each other what they know; one
 * that starts reads the store before it serves. Any reply of the store may be lost,
 * an instance may stand still between any two steps, and is replaced.
 *
 * Checked: once the news has had its time, the request runs PROBES times at most,
 * by all instances together.
 *
 * BROKEN: LOCAL_DECISION  an instance runs a suspect without asking the store
 * BROKEN: NO_MEMORY       a quarantine that has passed leaves no trace
 * BROKEN: BLIND_START     an instance that starts serves before it has read the store
 * BROKEN: UNCONDITIONAL   the probe is written whatever the store has
 * BROKEN: LOST_IS_CLAIMED a claim without a reply counts as done, though it was not
 */
#define INSTANCES 2
#define PROBES    2
#define RESTARTS  2

mtype = { Clear, Suspect, Claimed, Quarantined, Starting };

mtype phase[INSTANCES] = Clear;
byte probes[INSTANCES];     /* as far as the instance knows */
byte stored;                /* probes that the store has */
bool late;                  /* the news has had its time */
byte runs;                  /* since then */
byte restarts;

inline runOnce() {
	if
	:: late -> runs++; assert(runs <= PROBES)
	:: else -> skip
	fi
}

/* What another instance or the store has is merged: more probes win. */
inline learn(i, n) {
	if
	:: phase[i] == Clear -> probes[i] = n; phase[i] = (n > 0 -> Quarantined : Suspect)
	:: (phase[i] == Suspect || phase[i] == Quarantined) && n > probes[i] -> probes[i] = n; phase[i] = Quarantined
	:: else -> skip
	fi
}

active proctype world() {
	byte i, j;
	phase[0] = Suspect;
end:
	do
	/* kernel/quarantine: Machine.merge, by way of Node.Sync */
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		j = INSTANCES - 1 - i;
		if
		:: phase[i] != Starting && phase[j] != Clear && phase[j] != Starting -> learn(i, probes[j])
		:: else -> skip
		fi; i = 0; j = 0 }
	:: atomic { !late && phase[0] != Clear && phase[1] != Clear -> late = true }
	/* run.claimProbe and probeStore.Claim */
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
#ifdef LOCAL_DECISION
		:: phase[i] == Suspect -> probes[i]++; phase[i] = Claimed
#else
#ifdef UNCONDITIONAL
		:: phase[i] == Suspect -> probes[i]++; stored = probes[i]; phase[i] = Claimed
#else
		:: phase[i] == Suspect && stored == probes[i] ->
			stored++;
			if
			:: true -> probes[i] = stored; phase[i] = Claimed
#ifdef LOST_IS_CLAIMED
			:: true -> stored--; runOnce()            /* it failed */
#else
			:: true -> skip                           /* the reply is lost */
#endif
			fi
		:: phase[i] == Suspect && stored != probes[i] -> probes[i] = stored; phase[i] = Quarantined
#endif
#endif
		:: else -> skip
		fi; i = 0 }
	/* the request is sent, and crashes the leaf */
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
		:: phase[i] == Claimed -> phase[i] = Quarantined; runOnce()
		:: phase[i] == Clear -> runOnce()
		:: else -> skip
		fi; i = 0 }
	/* Machine.live: the quarantine passes, but for the last one */
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
#ifdef NO_MEMORY
		:: phase[i] == Quarantined -> phase[i] = Suspect; probes[i] = 0; stored = 0
#else
		:: phase[i] == Quarantined && probes[i] < PROBES -> phase[i] = Suspect
#endif
		:: else -> skip
		fi; i = 0 }
	/* An instance is replaced; control.loadInitialState */
	:: atomic { restarts < RESTARTS ->
		restarts++;
		select(i : 0 .. INSTANCES - 1);
		probes[i] = 0;
#ifdef BLIND_START
		phase[i] = Clear;
#else
		phase[i] = Starting;
#endif
		i = 0 }
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
		:: phase[i] == Starting -> phase[i] = Clear; learn(i, stored)
		:: else -> skip
		fi; i = 0 }
	od
}
