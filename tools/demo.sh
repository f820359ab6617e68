#!/bin/sh
# Starts the stand-in platform, two failure domains of two entry instances each
# and eight endpoints, replays the jobs of examples/tournament.jsonl and stops
# all processes.
set -u

BUILD=${BUILD:-build}
LOGS=${LOGS:-$BUILD/demo-logs}
BASE=${BASE_PORT:-18500}
PIDS=""

stop_all() {
	for pid in $PIDS; do
		kill "$pid" 2>/dev/null
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null
	done
}
trap stop_all EXIT INT TERM

start() {
	name=$1
	shift
	"$@" >"$LOGS/$name.log" 2>&1 &
	PIDS="$PIDS $!"
}

fetch() {
	curl -s -m 2 --noproxy '*' "$@"
}

await_ready() {
	for port in $*; do
		tries=0
		until fetch "http://127.0.0.1:$port/readyz" | grep -q true; do
			tries=$((tries + 1))
			if [ $tries -gt 100 ]; then
				echo "demo: port $port is not ready after 100 attempts; logs in $LOGS" >&2
				exit 1
			fi
			sleep 0.1
		done
	done
}

mkdir -p "$LOGS"
PLATFORM="http://127.0.0.1:$BASE"
start platform "$BUILD/standin-platform" --port "$BASE"
sleep 0.3
fetch -X PUT --data-binary @examples/config.json \
	"$PLATFORM/v1/kv/peridothall/config?cas=0" >/dev/null

n=0
ENTRIES=""
HTTP_PORTS=""
for domain in zona-rosario zona-cordoba; do
	start "endpoints-$domain" "$BUILD/standin-endpoint" \
		--domain "$domain" --port $((BASE + 100 + n * 10)) --count 4 \
		--platform "$PLATFORM"
	for i in 1 2; do
		http=$((BASE + 10 + n))
		start "entry-$domain-$i" "$BUILD/peridothall-entry" \
			--name "entry-$domain-$i" --domain "$domain" \
			--http-port "$http" --peer-port $((BASE + 50 + n)) \
			--platform "$PLATFORM"
		ENTRIES="$ENTRIES${ENTRIES:+,}http://127.0.0.1:$http"
		HTTP_PORTS="$HTTP_PORTS $http"
		n=$((n + 1))
	done
done
await_ready $HTTP_PORTS
sleep 1

"$BUILD/peridothall" replay examples/tournament.jsonl \
	--keys examples/keys.json --entries "$ENTRIES" --slots 32 \
	--counts "http://127.0.0.1:$((BASE + 100)),http://127.0.0.1:$((BASE + 120))" \
	"$@"
status=$?
if [ $status -ne 0 ]; then
	echo "demo: a task was lost or started twice, or an answer was partial; logs in $LOGS" >&2
fi
exit $status
