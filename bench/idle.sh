#!/bin/sh
# Measures the processor time, traffic and memory of an entry instance without
# jobs, with N instances in one failure domain. Usage: idle.sh [N] [SECONDS]
set -u
BUILD=${BUILD:-build}
N=${1:-2}
SECS=${2:-10}
BASE=${BASE_PORT:-19700}
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
i=1
while [ $i -le "$N" ]; do
	"$BUILD/peridothall-entry" --name "entry-$i" --domain zona-rosario \
		--http-port $((BASE + 10 + i)) --peer-port $((BASE + 50 + i)) \
		--platform "$PLATFORM" 2>/dev/null & PIDS="$PIDS $!"
	[ $i -eq 1 ] && ENTRY=$!
	i=$((i + 1))
done
sleep $((4 + N / 2))
fetch() { curl -s -m 2 --noproxy '*' "$1"; }
field() { grep -o "\"$1\": *[0-9]*" | head -1 | grep -o '[0-9]*$'; }
state() { fetch "http://127.0.0.1:$((BASE + 11))/v1/state"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$ENTRY/stat"; }
calls() { fetch "$PLATFORM/standin/counts" | tr ',' '\n' | grep -E 'reads|writes|watches' | grep -o '[0-9]*$' | awk '{ s += $1 } END { print s }'; }
S1=$(state | field peer_bytes_sent); R1=$(state | field peer_bytes_received)
C1=$(ticks); P1=$(calls)
sleep "$SECS"
S2=$(state | field peer_bytes_sent); R2=$(state | field peer_bytes_received)
C2=$(ticks); P2=$(calls)
RSS=$(awk '/VmRSS/ { print $2 }' "/proc/$ENTRY/status")
awk -v n="$N" -v s="$SECS" -v c=$((C2 - C1)) -v hz="$(getconf CLK_TCK)" \
	-v b=$((S2 - S1 + R2 - R1)) -v p=$((P2 - P1)) -v rss="$RSS" 'BEGIN {
	printf "instances %2d  cpu %.2f%% of a core  peers %.2f KB/s  platform %.2f calls/s in all  memory %.1f MB\n",
		n, c / hz / s * 100, b / s / 1000, p / s, rss / 1024
}'
