#!/bin/sh
# Measures the median response time of a job of one short task that is submitted
# to entry instances, and its ratio to that of a direct call to the endpoint.
# Usage: latency.sh [CALLS] [RUN_MS]
set -u
BUILD=${BUILD:-build}
CALLS=${1:-200}
RUN_MS=${2:-50}
BASE=${BASE_PORT:-19900}
PIDS=""
cleanup() {
	kill $PIDS 2>/dev/null
	wait 2>/dev/null
}
trap cleanup EXIT INT TERM
PLATFORM="http://127.0.0.1:$BASE"
"$BUILD/standin-platform" --port "$BASE" & PIDS="$PIDS $!"
sleep 0.3
curl -s --noproxy '*' -X PUT --data-binary @examples/config.json \
	"$PLATFORM/v1/kv/peridothall/config?cas=0" >/dev/null
for i in 1 2; do
	"$BUILD/peridothall-entry" --name "entry-$i" --domain zona-rosario \
		--http-port $((BASE + 10 + i)) --peer-port $((BASE + 50 + i)) \
		--platform "$PLATFORM" 2>/dev/null & PIDS="$PIDS $!"
done
"$BUILD/standin-endpoint" --domain zona-rosario --port $((BASE + 100)) \
	--count 1 --platform "$PLATFORM" & PIDS="$PIDS $!"
sleep 3
PAYLOAD="{\"run_ms\":$RUN_MS}"
JOB="{\"tasks\":[{\"kind\":\"tension-check\",\"payload\":$PAYLOAD}]}"
median() { sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
call() { curl -s -o /dev/null --noproxy '*' -w '%{time_total}\n' "$@"; }
direct() {
	i=0
	while [ $i -lt "$CALLS" ]; do
		call -H "Task: direct/$i" -d "$PAYLOAD" \
			"http://127.0.0.1:$((BASE + 100))/run/mostrador-comun/tension-check"
		i=$((i + 1))
	done
}
via_entries() {
	i=0
	while [ $i -lt "$CALLS" ]; do
		call -H 'Authorization: Bearer key-club-norte' -H 'Attempt: 1' \
			-d "$JOB" "http://127.0.0.1:$((BASE + 11 + i % 2))/v1/services/mostrador-comun/jobs/zona-rosario~l$i"
		i=$((i + 1))
	done
}
D=$(direct | median)
T=$(via_entries | median)
awk -v d="$D" -v t="$T" -v run="$RUN_MS" 'BEGIN {
	printf "run %d ms: direct %.2f ms, through two entries %.2f ms, ratio %.3f, added %.2f ms\n",
		run, d * 1000, t * 1000, t / d, (t - d) * 1000
}'
