/*
 * Promela model of the rules by which two submissions of one job are kept apart
 * in time, explored exhaustively by tools/model.sh: a caller that leaves at any
 * moment, or is told that the outcome is unknown, and submits the job again
 * RESEND later, where its task then runs; the submitter that has its first
 * request, the owner that gets the batch, and an executor under a lease. The
 * first run must be over by then, and none may start later.
 *
 * Time advances in ticks of 100 ms. Submitter and owner may act any number of
 * times in a tick, or not at all for any number of ticks: they stand still, and
 * nothing ends that as a pause. Messages are lost, or arrive after any time.
 * Bounds of the rules are rounded so that the model allows more than they do.
 * The rules on one executor and on two owners are modelled in runs.pml and
 * owners.pml.
 *
 * Each -DNO_... omits a rule and must violate the assertion; see
 * tools/model.sh.
 */
#define RESEND 13   /* ticks after which the caller submits the job again */
#define LEASE 8	    /* lease of a start or a poll, with a slow clock */
#define TRANSIT 4   /* longest time in transit of a batch that is accepted */
#define ECHO_SURE 3 /* the submitter surely relies on the owner */
#define ECHO_LATE 5 /* age of an echo up to which tasks start, leases renew */
#define ECHO_LOST 9 /* age from which on the batch ends */

/* ## Caller */
bool left;
byte since_left; /* ticks; RESEND: the second run has started */

/* ## Submitter */
byte request; /* 0: unread, 1: submitted, 2: over */
byte checked_ago; /* since it last looked for callers that have left */
bool cancelling;  /* the owner has not acknowledged the cancellation */
byte held_ago;	  /* up to when the owner's heartbeats are echoed meanwhile */

/* ## Batch */
byte batch; /* 0: none, 1: in transit, 2: at the owner, 3: closed */
byte transit_for;

/* ## Owner */
byte echo_age;
bool stopping; /* a stop is not acknowledged */
bool overdue;  /* for so long that no lease is renewed */

/* ## Executor, and a start on its way to it, with what is left of its lease. A
 * poll counts as carried out when it is sent: later it grants no longer lease. */
byte start_call;
bool running;
byte lease;

inline age(n, max) {
	if
	:: n < max -> n++
	:: else
	fi
}

inline run_down(n) {
	if
	:: n -> n--
	:: else
	fi
}

inline leave() {
	left = true;
	since_left = 0
}

inline cancel() {
	request = 2;
	cancelling = true;
	held_ago = checked_ago
}

/* Looks for callers that have left, and cancels. */
inline check_callers() {
	if
	:: left && request == 1 -> cancel()
	:: else
	fi;
	checked_ago = 0
}

/* The owner stops what runs, or may be starting. */
inline end_batch() {
	if
	:: batch == 2 && (running || start_call) ->
		stopping = true;
#ifdef NO_DOUBTFUL_STOP
		overdue = false
#else
		overdue = echo_age > ECHO_SURE
#endif
	:: else
	fi;
#ifdef NO_CLOSED_BATCH
	if
	:: batch == 2 -> batch = 3
	:: else
	fi
#else
	/* Also one that arrives only after its cancellation. */
	batch = 3
#endif
}

#ifdef NO_CHECKED_ECHO
#define told_ago 0
#elif defined(NO_HELD_ECHO)
#define told_ago checked_ago
#else
#define told_ago (cancelling && held_ago > checked_ago -> held_ago : checked_ago)
#endif

#ifdef NO_ECHO_BOUND
#define relied_on (true)
#else
#define relied_on (echo_age <= ECHO_LATE)
#endif

inline tick() {
	if
	:: left && since_left < RESEND -> since_left++
	:: else
	fi;
	age(checked_ago, ECHO_LOST);
	age(echo_age, ECHO_LOST);
	if
	:: cancelling -> age(held_ago, ECHO_LOST)
	:: else
	fi;
	if
	:: batch == 1 -> age(transit_for, TRANSIT + 1)
	:: else
	fi;
#ifndef NO_OVERDUE_STOP
	overdue = stopping;
#endif
#ifndef NO_CALL_DEADLINE
	run_down(start_call);
#endif
	run_down(lease);
	running = running && lease
}

active proctype world() {
end:
	do
	:: d_step { !left -> leave() }
	/* ## Submitter */
	:: d_step { checked_ago -> check_callers() }
	:: d_step {
		request == 0 &&
#ifndef NO_CALLER_CHECK
		!left &&
#endif
		true ->
		request = 1;
		batch = 1;
		transit_for = 0
	   }
	/* It answers "unknown" for another reason. */
	:: d_step { request == 1 && !left -> leave(); cancel() }
	/* ## Owner */
	:: d_step { echo_age > told_ago -> echo_age = told_ago }
	:: d_step {
		batch == 1 ->
		if
#ifndef NO_TRANSIT_BOUND
		:: transit_for > TRANSIT -> batch = 3
#endif
		:: else -> batch = 2
		fi
	   }
	:: d_step { cancelling -> end_batch() }
	:: d_step { cancelling -> end_batch(); cancelling = false }
	/* It is not sent any more. The owner, which hasn't stood still for longer
	 * than a pause since, has ended the batch for the age of the echo. */
	:: d_step { cancelling && since_left == RESEND && batch != 2 -> cancelling = false }
	:: d_step { batch == 2 && echo_age >= ECHO_LOST -> end_batch() }
	:: d_step {
		batch == 2 && relied_on && !running && !start_call &&
		!stopping -> start_call = LEASE
	   }
	:: d_step {
		relied_on && running && lease < LEASE &&
		((batch == 2 && !stopping) || (stopping && !overdue)) ->
		lease = LEASE
	   }
	/* ## Executor */
	:: d_step {
		start_call ->
		if
		:: lease < start_call -> lease = start_call
		:: else
		fi;
		running = true;
		start_call = 0
	   }
	:: d_step { start_call -> start_call = 0 }
	:: d_step { stopping  -> running = false; start_call = 0; stopping = false }
	:: d_step { tick() }
	:: atomic { since_left == RESEND && running -> assert(false) }
	od
}
