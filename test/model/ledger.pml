/*
 * Promela model of the ledger's rules for starting tasks, explored exhaustively
 * by tools/model.sh: one job with one task, two members of a failure domain and
 * a third instance that joins, and two attempts to submit the job. The faults
 * are: a network partition between the members, a partition of each from the
 * platform, death of a member, and removal of a member by compare-and-swap.
 * Time is abstracted: a member starts the task solo only while it is cut off
 * from both its partner and the platform. A death is clean only if the dead
 * member had replicated its starts, was not cut off from its partner and had
 * adopted the current roster.
 *
 * -DNO_ACK, -DNO_FIRST, -DNO_LOST, -DNO_OWED and -DNO_SEAL omit one rule each:
 * waiting for the backup's acknowledgement, starting only first attempts solo,
 * waiting while a removed member may have started the job, treating a death
 * with unreplicated starts as not clean, and waiting for state transfer. Each
 * of these variants must violate the assertion.
 */
#define A 0
#define B 1
#define J 2
#define NONE 9

byte starts;			/* number of starts of the task */
byte version;			/* roster version stored at the platform */
bool member[3];			/* is in the stored roster */
bool was_member[3] = true;	/* was in the roster that it adopted last */
bool lost[3];			/* removed, may have started the task */
byte adopted[3];		/* roster version adopted last */
bool synced[3];			/* has sent its records under that version */
bool alive[3] = true;
bool joined;			/* J has been added to the roster */
bool j_active;			/* J may start tasks */
bool cut_ab;			/* no messages between A and B */
bool cut_platform[3];		/* no connection to the platform */
bool has_first[3];		/* has received the first attempt */
bool has_later[3];		/* has received a later attempt */
bool has_record[3];		/* has the job's record */
bool start_recorded[3];		/* has recorded that it may have started */
bool accepted_first[3];		/* accepted the job by its first attempt */
bool unreplicated[3];		/* started solo, the partner lacks the start */
bool died_clean[3];		/* dead without a start that only it recorded */

#define other(x) (1 - x)
#define only_member(x) (member[x] && !member[other(x)] && !member[J])
#define connected(x, y) (alive[x] && alive[y] && !(cut_ab && x != J && y != J))
#define any_lost (lost[A] || lost[B])

inline start(x) {
	starts++;
	start_recorded[x] = true;
	has_record[x] = true;
	assert(starts <= 1)
}

/* A member accepts the attempts that it has received. */
inline accept_attempts(x) {
	if
	:: has_first[x] && !has_record[x] ->
		has_record[x] = true;
		accepted_first[x] = true
	:: has_later[x] && !has_record[x] && !any_lost -> has_record[x] = true
	:: else
	fi
}

#ifdef NO_LOST
#define start_accounted_for(x) (true)
#else
#define start_accounted_for(x) (has_first[x] || !any_lost)
#endif
#ifdef NO_FIRST
#define may_start_solo(x) (true)
#else
#define may_start_solo(x) (has_first[x] && accepted_first[x])
#endif
#ifdef NO_OWED
#define has_unreplicated(x) (false)
#else
#define has_unreplicated(x) (unreplicated[x])
#endif
#ifdef NO_SEAL
#define all_synced(x) (true)
#else
/* A and B, where members, have adopted the version and sent all records. */
#define all_synced(x) ((!member[A] || (adopted[A] == version && synced[A])) && \
		       (!member[B] || (adopted[B] == version && synced[B])))
#endif

proctype instance(byte x) {
	do
	:: !alive[x] -> break
	:: atomic { alive[x] -> accept_attempts(x) }
	/* Start after the backup's acknowledgement under the same version. */
	:: atomic {
		alive[x] && x != J && has_record[x] && !start_recorded[x] &&
		member[x] && member[other(x)] && adopted[x] == version &&
		all_synced(x) && start_accounted_for(x) &&
#ifdef NO_ACK
		true ->
		start(x)
#else
		connected(x, other(x)) && adopted[other(x)] == adopted[x] &&
		!start_recorded[other(x)] ->
		has_record[other(x)] = true;
		start_recorded[other(x)] = true;
		start(x)
#endif
	   }
	/* Replicate a start to the partner once it is reachable again. */
	:: atomic {
		alive[x] && x != J && connected(x, other(x)) &&
		start_recorded[x] && member[x] && member[other(x)] &&
		adopted[x] == adopted[other(x)] &&
		(unreplicated[x] || !start_recorded[other(x)]) ->
		has_record[other(x)] = true;
		start_recorded[other(x)] = true;
		unreplicated[x] = false
	   }
	/* Solo, cut off from partner and platform: first attempts only. */
	:: atomic {
		alive[x] && x != J && was_member[x] && cut_ab &&
		cut_platform[x] && has_record[x] && !start_recorded[x] &&
		may_start_solo(x) ->
		unreplicated[x] = true;
		start(x)
	   }
	/* Start as the only member of the roster. */
	:: atomic {
		alive[x] && only_member(x) && adopted[x] == version &&
		has_record[x] && !start_recorded[x] &&
		start_accounted_for(x) && all_synced(x) ->
		start(x)
	   }
	/* Start beside a partner whose death was clean. */
	:: atomic {
		alive[x] && x != J && member[x] && member[other(x)] &&
		!member[J] && adopted[x] == version && !alive[other(x)] &&
		died_clean[other(x)] && has_record[x] && !start_recorded[x] &&
		start_accounted_for(x) ->
		start(x)
	   }
	/* Remove the partner from the roster by compare-and-swap. */
	:: atomic {
		alive[x] && x != J && !cut_platform[x] && member[x] &&
		adopted[x] == version && member[other(x)] &&
		(cut_ab || !alive[other(x)]) && version < 4 ->
		member[other(x)] = false;
		lost[other(x)] = !(!alive[other(x)] && died_clean[other(x)]);
		version++;
		adopted[x] = version;
		synced[x] = true
	   }
	/* Adopt the newest roster; state transfer starts anew. */
	:: atomic {
		alive[x] && !cut_platform[x] && adopted[x] < version ->
		adopted[x] = version;
		was_member[x] = member[x];
		synced[x] = false
	   }
	/* Transfer the job's record to J, if it has joined. */
	:: atomic {
		alive[x] && x != J && adopted[x] == version && !synced[x] &&
		member[x] && (!joined || alive[J]) ->
		if
		:: member[J] && has_record[x] ->
			has_record[J] = true;
			start_recorded[J] =
				start_recorded[J] || start_recorded[x]
		:: else
		fi;
		synced[x] = true
	   }
	/* A removed member sends its record to the remaining one and is then
	 * no longer lost. */
	:: atomic {
		alive[x] && x != J && adopted[x] == version && !member[x] &&
		lost[x] && !cut_ab && alive[other(x)] && member[other(x)] &&
		!cut_platform[other(x)] && adopted[other(x)] == version ->
		has_record[other(x)] = has_record[other(x)] || has_record[x];
		start_recorded[other(x)] =
			start_recorded[other(x)] || start_recorded[x];
		has_first[x] = false;
		has_later[x] = false;
		lost[x] = false
	   }
	od
}

/* A third instance joins the only remaining member. It may start tasks when the
 * state transfer to it is complete. */
proctype joiner() {
	do
	:: atomic {
		!joined && (only_member(A) || only_member(B)) && version < 4 ->
		joined = true;
		member[J] = true;
		version++;
		adopted[J] = version;
		synced[J] = true
	   }
	:: atomic {
		joined && !j_active && all_synced(J) ->
		j_active = true
	   }
	:: atomic {
		j_active && has_later[J] && !has_record[J] && !any_lost ->
		has_record[J] = true
	   }
	/* Start after a member without a start has acknowledged. */
	:: atomic {
		j_active && has_record[J] && !start_recorded[J] && !any_lost ->
		if
		:: member[A] && alive[A] && !start_recorded[A] ->
			start_recorded[A] = true;
			has_record[A] = true;
			start(J)
		:: member[B] && alive[B] && !start_recorded[B] ->
			start_recorded[B] = true;
			has_record[B] = true;
			start(J)
		:: else
		fi
	   }
	/* Start beside a member whose death was clean. */
	:: atomic {
		j_active && has_record[J] && !start_recorded[J] && !any_lost &&
		((member[A] && !alive[A] && died_clean[A]) ||
		 (member[B] && !alive[B] && died_clean[B])) ->
		start(J)
	   }
	:: timeout -> break
	od
}

/* The first attempt reaches A or B, the later attempt any instance; both at any
 * time. */
proctype first_attempt() {
	if
	:: has_first[A] = true
	:: has_first[B] = true
	fi
}

proctype later_attempt() {
	if
	:: has_later[A] = true
	:: has_later[B] = true
	:: has_later[J] = true
	fi
}

proctype faults() {
	byte n = 0;
	do
	:: n < 4 -> atomic { cut_ab = true; n++ }
	:: n < 4 -> atomic { cut_platform[A] = true; n++ }
	:: n < 4 -> atomic { cut_platform[B] = true; n++ }
	:: n < 4 && cut_ab -> atomic { cut_ab = false; n++ }
	:: n < 4 && (cut_platform[A] || cut_platform[B]) ->
		atomic { cut_platform[A] = false; cut_platform[B] = false; n++ }
	:: n < 4 && alive[A] && (alive[B] || joined) ->
		atomic {
			died_clean[A] = !has_unreplicated(A) && !cut_ab &&
					adopted[A] == version;
			alive[A] = false;
			n++
		}
	:: n < 4 && alive[B] && (alive[A] || joined) ->
		atomic {
			died_clean[B] = !has_unreplicated(B) && !cut_ab &&
					adopted[B] == version;
			alive[B] = false;
			n++
		}
	:: break
	od
}

init {
	atomic {
		member[A] = true;
		member[B] = true;
		version = 1;
		adopted[A] = 1;
		adopted[B] = 1;
		synced[A] = true;
		synced[B] = true;
		run instance(A);
		run instance(B);
		run joiner();
		run first_attempt();
		run later_attempt();
		run faults()
	}
}
