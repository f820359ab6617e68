/*
 * Promela model of the rules by which two owners of a pool keep the runs of one
 * task apart, explored exhaustively by tools/model.sh: an owner A that has the
 * batch, an instance B that takes the pool over, the submitter, which resumes
 * the batch at B when it doesn't hear A, and two executors. Connections of the
 * owners to the executors, and of A and the submitter, fail in each direction.
 * What becomes of one run on an executor that restarts is modelled in runs.pml.
 *
 * Time is abstracted: a lease that A or B renewed ends before that one takes it
 * for expired, and a time that a rule waits for has passed only after all that
 * ends within it, and is not renewed, has ended.
 *
 * Each -DNO_... omits a rule and must violate the assertion; see
 * tools/model.sh.
 */
#define A 1
#define B 2
#ifndef CHANGES
#define CHANGES 6 /* of connections */
#endif

/* ## Executors */
byte token[2];	 /* highest that it has seen */
byte runs[2];	 /* owner that started the run; 0: none */
bool a_lease[2]; /* a lease that A has renewed lasts */
bool b_lease[2];

/* ## Connections that are cut */
bool a_cut[2]; /* A and executor */
bool b_cut[2];
bool a_to_s; /* from A to the submitter */
bool s_to_a;
byte changes;

/* ## A */
bool a_batch = true;
bool a_heard_back = true; /* the submitter has heard A lately, as A knows */
bool a_view[2];		  /* A knows of a run there */
bool a_rejected[2];	  /* the executor has refused A's token */

/* ## Submitter */
bool resumed;	/* the batch was sent to B */
bool cancelled; /* a cancellation is on its way to A */

/* ## B */
bool b_owner;
bool b_batch;
bool b_polled[2];
bool b_found[2]; /* B has found a run that no batch has claimed */
bool b_view[2];
bool waited; /* runs of an earlier owner have surely expired */

#ifdef NO_DISTINCT_TOKENS
#define B_TOKEN A
#else
#define B_TOKEN B
#endif

inline enforce_lease(e) {
	if
	:: !a_lease[e] && !b_lease[e] -> runs[e] = 0
	:: else
	fi
}

/* ## Owner A */

#ifdef NO_HEARD_BACK
#define a_serves (a_batch)
#else
/* A batch ends when its submitter may have resumed it. */
#define a_serves (a_batch && a_heard_back)
#endif

inline a_start(e) {
	a_serves && !a_view[0] && !a_view[1] && !a_cut[e] && !a_rejected[e] ->
	if
	:: token[e] > A -> a_rejected[e] = true
	:: else ->
		token[e] = A;
		a_view[e] = true;
		a_lease[e] = true;
		if
		:: !runs[e] -> runs[e] = A
		:: else
		fi
	fi
}

/* Renews the lease, or, without the batch, stops the run. */
inline a_call(e) {
	!a_cut[e] ->
	if
	:: token[e] > A -> a_rejected[e] = true
	:: token[e] <= A && a_serves ->
		token[e] = A;
		a_view[e] = runs[e] != 0;
		a_lease[e] = true;
		a_rejected[e] = false
	:: else ->
		token[e] = A;
		runs[e] = 0;
		a_view[e] = false
	fi
}

inline a_expire(e) {
	a_view[e] && !a_lease[e] &&
#ifndef NO_OTHER_OWNER
	!a_rejected[e] &&
#endif
	a_cut[e] ->
	a_view[e] = false
}

inline a_lease_ends(e) {
	a_lease[e] ->
	a_lease[e] = false;
	enforce_lease(e)
}

/* ## Owner B */

/* The first poll under a token renews nothing. */
inline b_poll(e) {
	b_owner && !b_cut[e] ->
	if
	:: token[e] > B_TOKEN -> b_owner = false
	:: else ->
		token[e] = B_TOKEN;
		if
#ifdef NO_UNCLAIMED_PAUSE
		:: b_polled[e] -> b_lease[e] = runs[e] != 0
#else
		:: b_polled[e] && !b_found[e] -> b_lease[e] = runs[e] != 0
#endif
		:: else
		fi;
		b_found[e] = runs[e] != 0 && !b_view[e];
		b_view[e] = b_view[e] && runs[e] != 0;
		b_polled[e] = true
	fi
}

/* The resumed batch claims the run. */
inline b_claim(e) {
	b_batch && b_found[e] && !b_view[0] && !b_view[1] ->
	b_found[e] = false;
	b_view[e] = true
}

/* No batch has claimed the run in time. */
inline b_stop(e) {
	b_found[e] && !b_cut[e] && (!b_batch || b_view[0] || b_view[1]) ->
	if
	:: token[e] <= B_TOKEN ->
		token[e] = B_TOKEN;
		runs[e] = 0
	:: else
	fi;
	b_found[e] = false
}

#ifdef NO_EARLIER_RUN
#define earlier_run_gone (true)
#else
#define earlier_run_gone (waited || (b_polled[0] && b_polled[1]))
#endif

inline b_start(e) {
	b_owner && b_batch && b_polled[e] && !b_cut[e] && earlier_run_gone &&
	!b_view[0] && !b_view[1] && !b_found[0] && !b_found[1] &&
	!runs[e] && token[e] <= B_TOKEN ->
	token[e] = B_TOKEN;
	b_view[e] = true;
	b_lease[e] = true;
	runs[e] = B
}

inline b_expire(e) {
	b_view[e] && b_cut[e] && !b_lease[e] &&
#ifndef NO_EARLIER_LEASE
	/* A may have renewed it until the first poll. */
	!a_lease[e] &&
#endif
	true ->
	b_view[e] = false
}

inline b_lease_ends(e) {
	b_lease[e] ->
	b_lease[e] = false;
	enforce_lease(e)
}

/* A run of A that A doesn't renew has expired by then. */
#ifdef NO_RESUME_WAIT
#define expired_by_then (true)
#elif defined(NO_SHORTER_BOUND)
#define expired_by_then (!a_serves && !a_lease[0] && !a_lease[1])
#else
#define expired_by_then (!(a_lease[0] && !a_serves) && \
			 !(a_lease[1] && !a_serves))
#endif

inline toggle(link) {
	changes < CHANGES ->
	changes++;
	link = !link
}

#define EACH(step) \
	:: d_step { step(0) } \
	:: d_step { step(1) }

active proctype world() {
end:
	do
	EACH(a_start)
	EACH(a_call)
	EACH(a_expire)
	EACH(a_lease_ends)
	EACH(b_poll)
	EACH(b_claim)
	EACH(b_stop)
	EACH(b_start)
	EACH(b_expire)
	EACH(b_lease_ends)
	/* A counts from when it sent the last heartbeat that the submitter says
	 * it has heard, and its bound is shorter than the submitter's. */
	:: d_step { a_heard_back && a_to_s -> a_heard_back = false }
	:: d_step { a_heard_back && s_to_a -> a_heard_back = false }
	:: d_step {
		!resumed && a_to_s && b_owner &&
#if !defined(NO_HEARD_BACK) && !defined(NO_SHORTER_BOUND)
		!a_heard_back &&
#endif
		true ->
		resumed = true;
		cancelled = true;
		b_batch = true
	   }
	:: d_step { a_batch && !a_serves -> a_batch = false }
	:: d_step { cancelled && !s_to_a -> cancelled = false; a_batch = false }
	:: d_step { !b_owner && a_to_s -> b_owner = true }
	:: d_step { resumed && !waited && expired_by_then -> waited = true }
	:: d_step { toggle(a_cut[0]) }
	:: d_step { toggle(a_cut[1]) }
	:: d_step { toggle(b_cut[0]) }
	:: d_step { toggle(b_cut[1]) }
	:: d_step { toggle(a_to_s) }
	:: d_step { toggle(s_to_a) }
	:: atomic { runs[0] && runs[1] -> assert(false) }
	od
}
