#!/bin/sh
# Checks the models with Spin: each must hold with all rules, and each variant
# that omits one rule, or drops an assumption (OPEN_...), must fail.
set -u
OUT=${BUILD:-build}/model
MODELS=$(pwd)/test/model
mkdir -p "$OUT"
cd "$OUT" || exit 1
STATUS=0
# Explores a model with the given options. Returns 0 if it holds, 1 if an
# assertion fails, 2 if it could not be explored.
explore() {
	rm -f pan*
	spin -a $2 "$MODELS/$1.pml" >/dev/null || return 2
	gcc -O1 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=4000 -o pan pan.c 2>/dev/null ||
		return 2
	./pan -m200000 >pan.out || return 2
	grep -q 'max search depth too small' pan.out && return 2
	grep -q 'errors: 0' pan.out && return 0
	grep -q 'assertion violated' pan.out && return 1
	return 2
}
# check MODEL VARIANT...
check() {
	model=$1
	shift
	explore "$model" ""
	case $? in
	0) echo "$model, all rules: holds, $(grep 'states, stored' pan.out | awk '{ print $1 }') states" ;;
	*)
		echo "$model, all rules: FAILS"
		STATUS=1
		;;
	esac
	for variant in "$@"; do
		explore "$model" "-D$variant"
		case $? in
		1) echo "$model, $variant: fails as it must" ;;
		0)
			echo "$model, $variant: HOLDS, but must fail"
			STATUS=1
			;;
		*)
			echo "$model, $variant: NOT EXPLORED"
			STATUS=1
			;;
		esac
	done
}
check ledger NO_ACK NO_FIRST NO_LOST NO_OWED NO_SEAL
check owners NO_HEARD_BACK NO_SHORTER_BOUND NO_DISTINCT_TOKENS \
	NO_UNCLAIMED_PAUSE NO_EARLIER_RUN NO_RESUME_WAIT NO_EARLIER_LEASE
check callers NO_CALLER_CHECK NO_CHECKED_ECHO NO_HELD_ECHO NO_DOUBTFUL_STOP \
	NO_OVERDUE_STOP NO_CLOSED_BATCH NO_ECHO_BOUND NO_TRANSIT_BOUND \
	NO_CALL_DEADLINE
check runs NO_STOP NO_HAS_RUN NO_ACK_ORDER NO_EXPIRY_WAIT NO_RESTART_BOUND \
	NO_PRESENT_STOP NO_RESTOP NO_ACK_INCARNATION NO_ANSWER_CLOCK \
	NO_FOUND_LEASE NO_HEARD NO_HANDED_OVER_START OPEN_WINDOW
exit $STATUS
