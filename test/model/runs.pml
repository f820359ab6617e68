/*
 * Promela model of the rules by which the owner of a pool keeps the runs of one
 * task apart, explored exhaustively by tools/model.sh: one owner, two executors
 * that restart under their id, and commands and polls that are late, lost or
 * overtaken. A start without an answer may be carried out at any later time,
 * also by a later incarnation, which has forgotten token, stops and runs.
 *
 * Time is abstracted. A "covered" lease ends before the owner takes it for
 * expired. A lease that an incarnation grants to a call that was meant for an
 * earlier one is "uncovered": its end was computed for another clock, so that
 * the owner doesn't know it before a poll has shown that incarnation.
 *
 * Assumed: a start whose stop an earlier incarnation has acknowledged does not
 * reach a later one before the owner's next poll and stop do. No rule excludes
 * that; -DOPEN_WINDOW drops the assumption and must violate the assertion.
 * Each -DNO_... omits a rule and must violate it, too; see tools/model.sh.
 */
#define RUNS 2 /* runs of the task, numbered from 1; the first is on executor 0 */
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef TIMEOUTS
#define TIMEOUTS 2 /* starts that the owner waits for in vain */
#endif

/* The owner's view of a run. */
#define NONE 0
#define STARTING 1
#define RUNNING 2
#define STOPPING 3

/* A start command. */
#define UNUSED 0
#define IN_TRANSIT 1
#define ACCEPTED 2 /* the answer is in transit */
#define REFUSED 3  /* the answer is in transit */
#define LATE 4	   /* the owner waits no longer, it may be carried out */
#define OVER 5

#define bit(r) (1 << (r))

/* ## Executors */
byte incarnation[2];
byte on[2];	   /* bit set of the runs that are running */
byte ended[2];	   /* bit set of the ends that this incarnation reports */
byte highest[2];   /* runs up to this number are refused */
bool covered[2];   /* the lease ends before the owner expects it */
bool uncovered[2]; /* the lease ends at no known time, ... */
bool in_bound[2];  /* ... but within the bound after a restart */

/* ## Commands, by run */
byte start[RUNS + 1];
byte at[RUNS + 1];	  /* the executor */
byte meant_for[RUNS + 1]; /* incarnation that the owner knew */
byte start_by[RUNS + 1];  /* incarnation that has accepted it */
bool in_time[RUNS + 1];	  /* its lease end has not passed on that clock */
bool stop_done[RUNS + 1]; /* the acknowledgement of a stop is in transit */

/* ## Owner */
byte next_run = 1;
byte current; /* run that the task waits for; 0: none */
byte state[RUNS + 1];
bool acked[RUNS + 1];	/* the latest command was acknowledged */
bool begun[RUNS + 1];	/* the start was carried out */
bool kept[RUNS + 1];	/* kept for its stop only: the task doesn't wait */
bool stop_seen[RUNS + 1]; /* an incarnation has carried out a stop */
byte known[2];		/* incarnation that the latest answer showed */
bool failed[2];		/* the latest poll failed */
bool lease_left[2];	/* a lease that was sent may last */
bool lease_unknown[2];	/* an answer came from another incarnation */

/* ## Polls under way, one for each executor */
bool poll[2];
byte acked_before[2]; /* bit set of runs acknowledged before it */
byte seen_incarnation[2];
byte seen_on[2];
byte seen_ended[2];
bool seen_uncovered[2];
bool seen_unknown[2]; /* lease_unknown before it */

byte restarts;
byte timeouts;
byte i;

#define at_most_one(s) \
	((s) == 0 || (s) == bit(1) || (s) == bit(2))

inline check() {
	assert(at_most_one(on[0] | on[1]) && !(on[0] & on[1]))
}

/* ## Executors */

inline enforce_lease(e) {
	if
	:: !covered[e] && !uncovered[e] && on[e] ->
		ended[e] = ended[e] | on[e];
		i = RUNS;
		do
		:: i && !(on[e] & bit(i)) -> i--
		:: else -> break
		od;
		highest[e] = (i > highest[e] -> i : highest[e]);
		on[e] = 0;
		i = 0
	:: else
	fi
}

#define foreign(r) (incarnation[at[r]] != meant_for[r])
#define accepts(r) (r > highest[at[r]] && (foreign(r) || in_time[r]))
#ifdef OPEN_WINDOW
#define overtakes_stop(r) (false)
#else
#define overtakes_stop(r) (foreign(r) && stop_seen[r] && \
			   state[r] == STOPPING && \
			   (known[at[r]] != incarnation[at[r]] || !acked[r]))
#endif

/* The owner counts a lease from the poll that shows a new incarnation: so long
 * that a start which is answered in time ends within it. */
#ifdef NO_RESTART_BOUND
#define within_bound(r) (false)
#else
#define within_bound(r) (start[r] == IN_TRANSIT && foreign(r) && \
			 known[at[r]] == incarnation[at[r]])
#endif

inline carry_out(r) {
	(start[r] == IN_TRANSIT || start[r] == LATE) &&
	!(accepts(r) && overtakes_stop(r)) ->
	if
	:: accepts(r) ->
		on[at[r]] = on[at[r]] | bit(r);
		if
		:: foreign(r) && !within_bound(r) ->
			uncovered[at[r]] = true;
			in_bound[at[r]] = start[r] == IN_TRANSIT
		:: else -> covered[at[r]] = true
		fi;
		start_by[r] = incarnation[at[r]];
		start[r] = (start[r] == LATE -> OVER : ACCEPTED)
	:: else -> start[r] = (start[r] == LATE -> OVER : REFUSED)
	fi;
	check()
}

inline restart(e) {
	restarts < RESTARTS ->
	restarts++;
	incarnation[e]++;
	on[e] = 0;
	ended[e] = 0;
	highest[e] = 0;
	covered[e] = false;
	uncovered[e] = false;
	in_bound[e] = false
}

inline lease_ends(e) {
	lease_left[e] && !(at[1] == e && within_bound(1)) &&
	!(at[2] == e && within_bound(2)) ->
	lease_left[e] = false;
	covered[e] = false;
	i = 1;
	do
	:: i <= RUNS && at[i] == e -> in_time[i] = false; i++
	:: i <= RUNS && at[i] != e -> i++
	:: else -> break
	od;
	i = 0;
	enforce_lease(e)
}

inline uncovered_lease_ends(e) {
	uncovered[e] ->
	uncovered[e] = false;
	in_bound[e] = false;
	enforce_lease(e)
}

/* ## Owner */

#define on_executor(r, e) (state[r] != NONE && at[r] == e)
/* The start was not answered, and no poll has shown the run. */
#define unconfirmed(r) (state[r] == STOPPING && !begun[r])

inline clear(r) {
	state[r] = NONE;
	acked[r] = false;
	kept[r] = false;
	current = (current == r -> 0 : current)
}

/* Its start may be carried out later, by a later incarnation. */
inline drop_stopped(r) {
	if
#ifndef NO_RESTOP
	:: unconfirmed(r) ->
		kept[r] = true;
		current = (current == r -> 0 : current)
#endif
	:: else -> clear(r)
	fi
}

/* No start is carried out so late any more. */
inline late_time_passes(r) {
	kept[r] && start[r] == OVER && !(on[at[r]] & bit(r)) -> clear(r)
}

#define waits(r) (state[r] != NONE && !kept[r])
#ifdef NO_HAS_RUN
#define has_run (false)
#else
#define has_run (waits(1) || waits(2))
#endif

inline send_start(e) {
	current == 0 && next_run <= RUNS && !failed[e] && !has_run &&
	(next_run > 1 || e == 0) ->
	current = next_run;
	start[next_run] = IN_TRANSIT;
	at[next_run] = e;
	meant_for[next_run] = known[e];
	in_time[next_run] = true;
	state[next_run] = STARTING;
	lease_left[e] = true;
	next_run++
}

inline start_answered(r) {
	start[r] == ACCEPTED || start[r] == REFUSED ->
	if
	:: start[r] == ACCEPTED && state[r] != NONE ->
		begun[r] = true;
		if
		:: state[r] == STARTING ->
			state[r] = RUNNING;
			acked[r] = true
		:: else
		fi;
#ifndef NO_ANSWER_CLOCK
		lease_unknown[at[r]] = lease_unknown[at[r]] ||
				       start_by[r] != known[at[r]]
#endif
	:: start[r] == REFUSED && state[r] != NONE -> clear(r)
	:: else
	fi;
	start[r] = OVER;
	start_by[r] = 0;
	meant_for[r] = 0;
	in_time[r] = false
}

inline start_times_out(r) {
	timeouts < TIMEOUTS && start[r] != UNUSED && start[r] < LATE ->
	timeouts++;
	start[r] = (start[r] == IN_TRANSIT -> LATE : OVER);
	if
	:: state[r] == STARTING ->
#ifdef NO_STOP
		clear(r)
#else
		state[r] = STOPPING;
		acked[r] = false
#endif
	:: else
	fi
}

/* A stop reaches the executor; its acknowledgement may get lost. */
inline stop(r) {
	state[r] == STOPPING && !acked[r] && !stop_done[r] ->
	if
	:: on[at[r]] & bit(r) ->
		on[at[r]] = on[at[r]] & ~bit(r);
		ended[at[r]] = ended[at[r]] | bit(r)
	:: else
	fi;
	highest[at[r]] = (r > highest[at[r]] -> r : highest[at[r]]);
	stop_seen[r] = true;
	stop_done[r] = true
}

inline stop_acknowledged(r) {
	stop_done[r] ->
	stop_done[r] = false;
	if
	:: state[r] == STOPPING ->
		acked[r] = true;
		drop_stopped(r)
	:: else
	fi
}

inline stop_acknowledgement_lost(r) {
	stop_done[r] -> stop_done[r] = false
}

#define stop_unacked(r, e) (on_executor(r, e) && state[r] == STOPPING && \
			    !acked[r])

/* A poll renews the lease and reports what runs; the answer is in transit. */
inline poll_carried_out(e) {
	!poll[e] ->
	poll[e] = true;
	if
	:: !failed[e] && !stop_unacked(1, e) && !stop_unacked(2, e) ->
		lease_left[e] = true;
		if
		:: incarnation[e] == known[e] -> covered[e] = true
		:: else -> uncovered[e] = true
		fi
	:: else
	fi;
	acked_before[e] = (acked[1] << 1) | (acked[2] << 2);
	seen_incarnation[e] = incarnation[e];
	seen_on[e] = on[e];
	seen_ended[e] = ended[e];
	seen_uncovered[e] = uncovered[e];
	seen_unknown[e] = lease_unknown[e]
}

inline report(r, e) {
	if
	:: seen_on[e] & bit(r) ->
#ifndef NO_FOUND_LEASE
		/* It lives under a lease that the owner hasn't sent. */
		if
		:: !begun[r] && state[r] != STARTING ->
			lease_left[e] = true;
			if
			:: incarnation[e] == seen_incarnation[e] ->
				covered[e] = covered[e] || uncovered[e];
				uncovered[e] = false
			:: else
			fi
		:: else
		fi;
#endif
		begun[r] = true;
		if
		:: state[r] == STARTING ->
			state[r] = RUNNING;
			acked[r] = true
		:: state[r] == STOPPING -> kept[r] = false
		:: state[r] == NONE ->
			/* Stopped, as no batch claims it. */
			state[r] = STOPPING;
			acked[r] = false
		:: else
		fi
	:: !(seen_on[e] & bit(r)) && on_executor(r, e) ->
		if
		:: seen_ended[e] & bit(r) -> clear(r)
		:: else ->
			if
#ifdef NO_ACK_ORDER
			:: acked[r] ->
#else
			:: acked[r] && (acked_before[e] & bit(r)) ->
#endif
				drop_stopped(r)
			:: else
			fi
		fi
	:: else
	fi
}

/* A new incarnation has acknowledged no stop yet. */
inline forget_stops(r, e) {
	if
	:: on_executor(r, e) && unconfirmed(r) -> acked[r] = false
	:: else
	fi;
#ifndef NO_ACK_INCARNATION
	stop_done[r] = stop_done[r] && at[r] != e
#endif
}

inline poll_answered(e) {
	poll[e] ->
	poll[e] = false;
	failed[e] = false;
	lease_unknown[e] = lease_unknown[e] && !seen_unknown[e] &&
			   seen_incarnation[e] == known[e];
	report(1, e);
	report(2, e);
	if
	:: seen_incarnation[e] != known[e] ->
		known[e] = seen_incarnation[e];
#ifdef NO_RESTART_BOUND
		lease_left[e] = false;
#else
		lease_left[e] = true;
		if
		:: (seen_uncovered[e] || in_bound[e]) &&
		   incarnation[e] == known[e] ->
			covered[e] = covered[e] || uncovered[e];
			uncovered[e] = false
		:: else
		fi;
#endif
		forget_stops(1, e);
		forget_stops(2, e)
	:: else
	fi;
	acked_before[e] = 0;
	seen_incarnation[e] = 0;
	seen_on[e] = 0;
	seen_ended[e] = 0;
	seen_uncovered[e] = false;
	seen_unknown[e] = false
}

inline poll_fails(e) {
	poll[e] || !failed[e] ->
	poll[e] = false;
	failed[e] = true;
	acked_before[e] = 0;
	seen_incarnation[e] = 0;
	seen_on[e] = 0;
	seen_ended[e] = 0;
	seen_uncovered[e] = false;
	seen_unknown[e] = false
}

inline expire_run(r, e) {
	if
	:: on_executor(r, e) && !kept[r] ->
		if
		:: begun[r] -> clear(r)
#ifdef NO_PRESENT_STOP
		:: !begun[r] -> 
			state[r] = STOPPING;
			kept[r] = true;
			current = (current == r -> 0 : current)
#endif
		:: else
		fi
	:: else
	fi
}

#ifdef NO_EXPIRY_WAIT
#define expired(e) (failed[e])
#else
#define expired(e) (failed[e] && !lease_left[e] && !lease_unknown[e])
#endif

inline expire(e) {
	expired(e) && (on_executor(1, e) || on_executor(2, e)) ->
	expire_run(1, e);
	expire_run(2, e)
}

#define EACH_RUN(step) \
	:: d_step { step(1) } \
	:: d_step { step(2) }
#define EACH_EXECUTOR(step) \
	:: d_step { step(0) } \
	:: d_step { step(1) }

active proctype world() {
	do
	EACH_RUN(carry_out)
	EACH_RUN(start_answered)
	EACH_RUN(start_times_out)
	EACH_RUN(stop)
	EACH_RUN(stop_acknowledged)
	EACH_RUN(stop_acknowledgement_lost)
	EACH_RUN(late_time_passes)
	EACH_EXECUTOR(restart)
	EACH_EXECUTOR(lease_ends)
	EACH_EXECUTOR(uncovered_lease_ends)
	EACH_EXECUTOR(send_start)
	EACH_EXECUTOR(poll_carried_out)
	EACH_EXECUTOR(poll_answered)
	EACH_EXECUTOR(poll_fails)
	EACH_EXECUTOR(expire)
	od
}
