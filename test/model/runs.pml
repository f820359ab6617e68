/*
 * Promela model of the rules by which the owner of a pool takes a run for over,
 * explored exhaustively by tools/model.sh: one run of a task on one executor
 * that may restart under its id, with commands and polls that are late, lost or
 * overtaken. Once the owner has started the task elsewhere the run must not be,
 * or begin, on the executor. A start without an answer may be carried out at
 * any later time, also by a later incarnation of the executor, which has
 * forgotten token, stops and runs.
 *
 * Time is abstracted. A "known" lease ends before the owner takes it for
 * expired. A lease that an incarnation grants to a call that was meant for an
 * earlier one is "foreign": its end was computed for another clock, so that the
 * owner doesn't know it before a poll has shown that incarnation.
 *
 * A slow restart (crash, then up) takes longer than the owner needs to notice
 * that the executor is away and to stop what it has started elsewhere. After a
 * fast one a start whose stop an earlier incarnation has carried out is assumed
 * not to reach the later one before the owner's next poll and stop do. No rule
 * excludes that; -DOPEN_WINDOW drops the assumption and must violate the
 * assertion.
 *
 * The pool changes its owner at most once, with the next owner's first poll.
 * That one is told of a start which may still be carried out.
 *
 * Each -DNO_... omits a rule and must violate it, too; see tools/model.sh.
 */
#ifndef RESTARTS
#define RESTARTS 3
#endif

/* The start command. */
#define IN_TRANSIT 0
#define ACCEPTED 1 /* the answer is in transit */
#define REFUSED 2  /* the answer is in transit */
#define LATE 3	   /* the owner waits no longer, it may be carried out */
#define OVER 4

/* The owner's view of the run. */
#define STARTING 0
#define RUNNING 1
#define STOPPING 2
#define DROPPED 3

/* ## Executor */
byte incarnation;
bool runs;
bool ended;	/* this incarnation reports the end of the run */
bool refuses;	/* this incarnation has stopped or ended the run */
bool known_lease;
bool foreign_lease;
bool answered_lease; /* the foreign lease is of a start answered in time */
bool down;
bool fast; /* the latest restart was fast */

/* ## Commands */
byte start;
byte meant_for;	     /* incarnation that the owner knew */
bool in_time = true; /* the start's lease end has not passed on that clock */
bool stop_answer;    /* the answer to a stop is in transit */
bool answer_foreign; /* the start was accepted by another incarnation */

/* ## Owner */
byte state;
byte known; /* incarnation that the latest poll's answer showed */
bool acked; /* the latest command was acknowledged */
bool begun; /* the start is known to have been carried out */
bool kept;  /* kept for its stop only: the task doesn't wait for the run */
bool abandoned;	/* the batch has ended; another one has the same task */
bool failed;		/* the latest poll failed */
bool lease_left = true;	/* a lease that it knows of may last */
bool lease_unknown;	/* an answer came from another incarnation */
bool elsewhere;		/* the task was started again */
bool noticed;		/* that the executor is down */
bool next_owner;	/* the pool has changed its owner */

/* ## Answer to a poll, in transit */
bool poll;
bool acked_before; /* acked when the poll was sent */
bool unknown_before;
byte seen_incarnation;
bool seen_running;
bool seen_ended;
bool seen_foreign;

/* ## The executor's steps */

inline enforce_lease() {
	if
	:: runs && !known_lease && !foreign_lease ->
		runs = false;
		ended = true;
		refuses = true
	:: else
	fi
}

#define is_foreign (incarnation != meant_for)
#define accepts (!refuses && (is_foreign || in_time))

/* The owner counts a lease from the poll that shows a new incarnation, so long
 * that one which a start brings there ends within it if the start was answered
 * in time. */
#ifdef NO_RESTART_BOUND
#define within_bound (false)
#else
#define within_bound (start == IN_TRANSIT && is_foreign && known == incarnation)
#endif

#ifdef OPEN_WINDOW
#define overtakes_stop (false)
#else
bool stop_seen; /* an incarnation has carried out a stop */
#define overtakes_stop (fast && is_foreign && stop_seen && \
			state == STOPPING && (known != incarnation || !acked))
#endif

inline carry_out_start() {
	if
	:: accepts ->
		runs = true;
		if
		:: is_foreign && !within_bound ->
			foreign_lease = true;
			answered_lease = start == IN_TRANSIT;
			answer_foreign = true
		:: else -> known_lease = true
		fi;
		start = (start == LATE -> OVER : ACCEPTED)
	:: else -> start = (start == LATE -> OVER : REFUSED)
	fi
}

inline crash() {
	runs = false;
	ended = false;
	refuses = false;
	known_lease = false;
	foreign_lease = false;
	answered_lease = false
}

inline restart() {
	crash();
	incarnation++
}

inline carry_out_stop() {
	ended = ended || runs;
	runs = false;
	refuses = true;
#ifndef OPEN_WINDOW
	stop_seen = true;
#endif
	stop_answer = true
}

/* ## The owner's steps */

inline drop() {
	state = DROPPED;
	acked = false;
	kept = false
}

/* The stop was acknowledged. A later incarnation may carry out the start. */
inline stop_over() {
#ifdef NO_RESTOP
	drop()
#else
	if
	:: begun -> drop()
	:: else -> kept = true
	fi
#endif
}

inline start_answered() {
	if
	:: start == ACCEPTED && state != DROPPED ->
		begun = true;
		if
		:: state == STARTING ->
			state = RUNNING;
			acked = true
		:: else
		fi;
#ifndef NO_ANSWER_CLOCK
		lease_unknown = lease_unknown || answer_foreign
#endif
	:: start == REFUSED && state != DROPPED -> drop()
	:: else
	fi;
	start = OVER
}

inline start_times_out() {
	start = (start == IN_TRANSIT -> LATE : OVER);
	if
	:: state == STARTING ->
#ifdef NO_STOP
		drop()
#else
		state = STOPPING
#endif
	:: else
	fi
}

inline stop_answered() {
	stop_answer = false;
	if
	:: state == STOPPING ->
		acked = true;
		stop_over()
	:: else
	fi
}

inline carry_out_poll() {
	poll = true;
	if
	:: !failed && !(state == STOPPING && !acked) ->
		lease_left = true;
		if
		:: incarnation == known -> known_lease = true
		:: else -> foreign_lease = true
		fi
	:: else
	fi;
	acked_before = acked;
	unknown_before = lease_unknown;
	seen_incarnation = incarnation;
	seen_running = runs;
	seen_ended = ended;
	seen_foreign = foreign_lease
}

inline clear_poll() {
	poll = false;
	acked_before = false;
	unknown_before = false;
	seen_incarnation = 0;
	seen_running = false;
	seen_ended = false;
	seen_foreign = false
}

/* The owner counts a lease from the clock in the answer of this incarnation. */
inline count_lease(of_start) {
	lease_left = true;
	if
	:: foreign_lease && incarnation == seen_incarnation &&
	   (seen_foreign || (of_start && answered_lease)) ->
		known_lease = true;
		foreign_lease = false;
		answered_lease = false
	:: else
	fi
}

inline read_report() {
	if
	:: seen_running ->
#ifndef NO_FOUND_LEASE
		/* It lives under a lease that the owner hasn't computed. */
		if
		:: !begun && state != STARTING -> count_lease(false)
		:: else
		fi;
#endif
		begun = true;
		kept = false;
		if
		:: state == STARTING ->
			state = RUNNING;
			acked = true
		:: state == DROPPED -> state = STOPPING
		:: else
		fi
	:: !seen_running && seen_ended && state != DROPPED -> drop()
	:: !seen_running && !seen_ended && state != DROPPED && acked &&
#ifdef NO_ACK_ORDER
	   true ->
#else
	   acked_before ->
#endif
		if
		:: state == STOPPING -> stop_over()
		:: else -> drop()
		fi
	:: else
	fi
}

/* A new incarnation has acknowledged no stop. */
inline forget_stops() {
	if
	:: state == STOPPING && !begun -> acked = false
	:: else
	fi;
#ifndef NO_ACK_INCARNATION
	stop_answer = false
#endif
}

/* The executor is away: its next incarnation may carry the start out. The task
 * is stopped elsewhere and waits. */
inline notice_absence() {
	noticed = true;
	failed = true;
	clear_poll();
#ifndef NO_HEARD
	if
	:: state != DROPPED ->
		elsewhere = false;
		kept = false;
		forget_stops()
	:: else
	fi
#endif
}

inline poll_answered() {
	failed = false;
	lease_unknown = lease_unknown && !unknown_before;
	read_report();
	if
	:: seen_incarnation != known ->
		known = seen_incarnation;
#ifdef NO_RESTART_BOUND
		lease_left = false;
#else
		count_lease(true);
#endif
		forget_stops()
	:: else
	fi;
	clear_poll()
}

/* The executor is out of reach, and no lease is left. */
inline expire() {
	if
	:: begun -> drop()
#ifdef NO_PRESENT_STOP
	:: !begun && !acked ->
		/* Its task no longer waits, its stop goes on. */
		state = STOPPING;
		kept = true
#endif
	:: else
	fi
}

/* The next owner polls the executor, which refuses starts under the earlier
 * token from then on. A run that it finds is claimed, or stopped. */
inline change_owner() {
	next_owner = true;
	clear_poll();
	stop_answer = false;
	failed = false;
	known = incarnation;
	refuses = true;
	if
	:: runs ->
		count_found_lease();
		begun = true;
		acked = false;
		state = (elsewhere -> STOPPING : RUNNING)
	:: !runs && (state == DROPPED || begun) -> drop()
	:: else ->
#ifdef NO_HANDED_OVER_START
		drop()
#else
		state = STOPPING;
		acked = false
#endif
	fi
}

/* A found run may have the longest lease. */
inline count_found_lease() {
	lease_left = true;
	lease_unknown = false;
	known_lease = known_lease || foreign_lease;
	foreign_lease = false;
	answered_lease = false
}

#ifdef NO_EXPIRY_WAIT
#define expired (failed)
#else
#define expired (failed && !lease_left && !lease_unknown)
#endif

#define waits (state != DROPPED && !kept)
#ifdef NO_HAS_RUN
#define may_start_elsewhere (!waits || abandoned)
#else
#define may_start_elsewhere (!waits)
#endif

active proctype world() {
end:
	do
	/* Executor and network. */
	:: d_step {
		!down && (start == IN_TRANSIT || start == LATE) &&
		!(accepts && overtakes_stop) ->
		carry_out_start()
	   }
	:: d_step {
		!down && incarnation < RESTARTS ->
		fast = true;
		restart()
	   }
	:: d_step {
		!down && incarnation < RESTARTS ->
		down = true;
		noticed = false;
		crash()
	   }
	:: d_step {
		down && noticed ->
		down = false;
		fast = false;
		incarnation++
	   }
	:: d_step {
		!down && state == STOPPING && !acked && !stop_answer ->
		carry_out_stop()
	   }
	:: d_step { stop_answer -> stop_answer = false }
	:: d_step { !down && !poll -> carry_out_poll() }
	:: d_step {
		lease_left && !within_bound ->
		lease_left = false;
		known_lease = false;
		in_time = false;
		enforce_lease()
	   }
	:: d_step {
		foreign_lease ->
		foreign_lease = false;
		answered_lease = false;
		enforce_lease()
	   }
	/* Owner. */
	:: d_step { start == ACCEPTED || start == REFUSED -> start_answered() }
	:: d_step { start < LATE -> start_times_out() }
	:: d_step { stop_answer -> stop_answered() }
	:: d_step { poll -> poll_answered() }
	:: d_step { !down && !next_owner -> change_owner() }
	:: d_step { down && !noticed -> notice_absence() }
	:: d_step {
		poll || !failed ->
		failed = true;
		clear_poll()
	   }
	:: d_step { expired && waits -> expire() }
	:: d_step {
		state < STOPPING && !abandoned ->
		abandoned = true;
		acked = false;
		state = STOPPING
	   }
	:: d_step { may_start_elsewhere && !elsewhere -> elsewhere = true }
	:: atomic { elsewhere && runs -> assert(false) }
	od
}
