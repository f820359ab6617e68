#!/bin/sh
# Runs all tests and prints the counts of passed and failed ones at the end.
set -u
BUILD=${BUILD:-build}
. tools/known_red.sh
read_known KNOWN-RED.txt

# Runs one scenario in the given port slot.
scenario() {
	name=$(basename "$1" .lua)
	mkdir -p "$BUILD/scenario-logs/$name"
	rm -f "$BUILD/scenario-logs/$name"/*
	SLOT=$2 "$BUILD/scenario" "$BUILD" "$BUILD/scenario-logs/$name" "$1" \
		>"$BUILD/scenario-logs/$name/out" 2>&1
	echo $? >"$BUILD/scenario-logs/$name/status"
}

# Runs the scenarios one after another, so that none slows another down. A second
# run on the same machine needs other ports: SLOT, SLOT0 and BASE_PORT.
scenarios() {
	for script in test/scenarios/*.lua; do
		name=$(basename "$script" .lua)
		case $name in lib*) continue ;; esac
		scenario "$script" "${SLOT:-0}"
		run "scenario $name" [ "$(cat "$BUILD/scenario-logs/$name/status")" -eq 0 ]
		cat "$BUILD/scenario-logs/$name/out"
	done
}

# Builds the given targets, or all, with sanitizers in a build folder of their own.
build_with_sanitizer() {
	folder=$1
	kind=$2
	shift 2
	cmake -S . -B "$folder" -DSANITIZE="$kind" >/dev/null &&
		make -C "$folder" -j6 "$@" >"$folder/make.log" 2>&1
}

# Runs unit tests, fault matrix and fuzzing corpus under AddressSanitizer and
# UndefinedBehaviorSanitizer.
run_with_memory_sanitizers() {
	build_with_sanitizer "$BUILD-asan" address,undefined unit-tests fault-matrix \
		fuzz-replay || return 1
	unit_tests env UBSAN_OPTIONS=halt_on_error=1 tools/sharded.sh \
		"$BUILD-asan/unit-tests" ||
		return 1
	for command in "fault-matrix --pairs 40" "fuzz-replay fuzz/corpus"; do
		UBSAN_OPTIONS=halt_on_error=1 "$BUILD-asan"/$command || return 1
	done
}

# Runs a scenario with each process under ThreadSanitizer.
run_with_thread_sanitizer() {
	build_with_sanitizer "$BUILD-tsan" thread || return 1
	logs=$BUILD-tsan/logs
	mkdir -p "$logs"
	rm -f "$logs"/*
	"$BUILD-tsan/scenario" "$BUILD-tsan" "$logs" \
		test/scenarios/kill_primary.lua || return 1
	! grep -h -A12 'WARNING: ThreadSanitizer' "$logs"/*
}

# Two seeds with the first nine kinds of fault, one with all, one with connections
# that go silent (see soak.lua).
soak_seeds() {
	BUILD="$BUILD" tools/soak.sh 1 2 8 &&
		BUILD="$BUILD" tools/soak.sh 401 401 8 &&
		BUILD="$BUILD" tools/soak.sh 501 501 8
}

# Long freezes, and little processor time with freezes (see resubmissions.lua).
resubmission_seeds() {
	BUILD="$BUILD" SCRIPT=resubmissions INSTANCES=6 EXECUTORS=60 EVERY_MS=15 \
		tools/soak.sh 4 5 12
}

run "known failures" test/known_red.sh
run unit unit_tests "$BUILD/unit-tests"
run corpus "$BUILD/fuzz-replay" fuzz/corpus
run matrix "$BUILD/fault-matrix" --pairs 1500
run "matrix with dropped answers" "$BUILD/fault-matrix" --pairs 500 \
	--answer-bytes 300
run variants "$BUILD/fault-matrix" --variants
run "matrix case delay-long freeze-receiver kill-sender" \
	"$BUILD/fault-matrix" --one --entries 2 --strike delay-long@8 \
	--strike freeze-receiver@5 --strike kill-sender@154
run model env BUILD="$BUILD" tools/model.sh
scenarios
run "soak, four seeds" soak_seeds
run "soak of resubmissions, two seeds" resubmission_seeds
run memory run_with_memory_sanitizers
run threads run_with_thread_sanitizer
run demo env BUILD="$BUILD" tools/demo.sh --quiet
known_steps_exist || FAILED=$((FAILED + 1))

if [ -s KNOWN-RED.txt ]; then
	echo "Known failures (KNOWN-RED.txt), not counted:"
	cat KNOWN-RED.txt
fi
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
