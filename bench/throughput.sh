#!/bin/sh
# Submits jobs of TASKS short tasks (default 50) to one failure domain of two
# entry instances and reports task starts a second, processor time per task and
# peak memory.
# Usage: throughput.sh [JOBS_PER_S] [SECONDS] [TASKS] [RUN_MS]
set -u
BUILD=${BUILD:-build}
RATE=${1:-120}
SECONDS_RUN=${2:-8}
TASKS=${3:-50}
RUN_MS=${4:-5}
BASE=${BASE_PORT:-19500}
TMP=$(mktemp -d)
PIDS=""
cleanup() {
	kill $PIDS 2>/dev/null
	wait 2>/dev/null
	rm -rf "$TMP"
}
trap cleanup EXIT INT TERM
PLATFORM="http://127.0.0.1:$BASE"
"$BUILD/standin-platform" --port "$BASE" & PIDS="$PIDS $!"
sleep 0.3
sed 's/"zona-cordoba"/"zona-unused"/' examples/config.json >"$TMP/config.json"
curl -s --noproxy '*' -X PUT --data-binary "@$TMP/config.json" \
	"$PLATFORM/v1/kv/peridothall/config?cas=0" >/dev/null
for i in 1 2; do
	"$BUILD/peridothall-entry" --name "entry-$i" --domain zona-rosario \
		--http-port $((BASE + 10 + i)) --peer-port $((BASE + 50 + i)) \
		--platform "$PLATFORM" 2>"$TMP/entry-$i.log" & PIDS="$PIDS $!"
	eval "ENTRY_$i=$!"
done
"$BUILD/standin-endpoint" --domain zona-rosario --port $((BASE + 100)) \
	--count 16 --slots 64 --platform "$PLATFORM" & PIDS="$PIDS $!"
sleep 3
awk -v rate="$RATE" -v secs="$SECONDS_RUN" -v tasks="$TASKS" -v run="$RUN_MS" '
BEGIN {
	for (i = 0; i < rate * secs; i++) {
		printf "{\"at_ms\":%d,\"team\":\"club-norte\",\"service\":\"mostrador-comun\",\"id\":\"zona-rosario~t%d\",\"tasks\":[", i * 1000 / rate, i
		for (t = 0; t < tasks; t++)
			printf "%s{\"kind\":\"tension-check\",\"payload\":{\"run_ms\":%d}}", t ? "," : "", run
		print "]}"
	}
}' >"$TMP/jobs.jsonl"
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
A1=$(ticks $ENTRY_1); A2=$(ticks $ENTRY_2)
T1=$(date +%s%N)
"$BUILD/peridothall" replay "$TMP/jobs.jsonl" --keys examples/keys.json \
	--entries "http://127.0.0.1:$((BASE + 11)),http://127.0.0.1:$((BASE + 12))" \
	--counts "http://127.0.0.1:$((BASE + 100))" --slots 1024 --quiet
STATUS=$?
T2=$(date +%s%N)
B1=$(ticks $ENTRY_1); B2=$(ticks $ENTRY_2)
awk -v n=$((RATE * SECONDS_RUN * TASKS)) -v ns=$((T2 - T1)) \
	-v c=$((B1 + B2 - A1 - A2)) -v hz="$(getconf CLK_TCK)" \
	-v m1="$(awk '/VmHWM/ { print $2 }' /proc/$ENTRY_1/status)" 'BEGIN {
	s = ns / 1e9
	printf "task starts a second  %.0f over %.1f s\n", n / s, s
	printf "entry cpu per task    %.1f us over both instances\n", c / hz * 1e6 / n
	printf "entry peak memory     %.1f MB\n", m1 / 1024
}'
exit $STATUS
