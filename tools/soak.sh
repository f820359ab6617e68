#!/bin/sh
# Runs the soak test of peridothall-dispatch with the seeds FIRST to LAST, JOBS
# at a time with ports of their own, and injects faults for SECS seconds in each.
# The logs of a failed run are kept in a folder whose name is printed.
# Usage: soak.sh FIRST LAST SECS [JOBS]
set -u
BUILD=${BUILD:-build}
FIRST=$1
LAST=$2
SECS=$3
JOBS=${4:-1}
# First port slot; another run on the same machine needs a different one.
SLOT0=${SLOT0:-10}
# Which soak: soak, or resubmissions.
SCRIPT=${SCRIPT:-soak}
LOGS=$BUILD/soak-logs
mkdir -p "$LOGS"

run_seed() {
	seed=$1
	folder=$LOGS/seed-$seed
	rm -rf "$folder"
	mkdir -p "$folder"
	if SEED=$seed SECS=$SECS SLOT=$((SLOT0 + seed % JOBS)) "$BUILD/scenario" \
		"$BUILD" "$folder" "test/soak/$SCRIPT.lua" >"$folder/out" 2>&1; then
		tail -n 1 "$folder/out" | sed "s/^/seed $seed /"
		rm -rf "$folder"
		return 0
	fi
	kept=$LOGS/failed-$seed-$(date +%Y%m%dT%H%M%S)
	mv "$folder" "$kept"
	echo "seed $seed FAILED, see $kept"
	return 1
}

STATUS=0
worker=0
while [ "$worker" -lt "$JOBS" ]; do
	(
		failed=0
		seed=$((FIRST + worker))
		while [ "$seed" -le "$LAST" ]; do
			run_seed "$seed" || failed=1
			seed=$((seed + JOBS))
		done
		exit $failed
	) &
	PIDS="${PIDS:-} $!"
	worker=$((worker + 1))
done
for pid in $PIDS; do
	wait "$pid" || STATUS=1
done
exit $STATUS
