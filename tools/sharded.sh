#!/bin/sh
# Runs a GoogleTest program in several processes, each with a part of its tests.
# Fails if one of them does.
# Usage: sharded.sh PROGRAM [ARGUMENT...]
set -u
SHARDS=${SHARDS:-4}
case $* in
*--gtest_list_tests*) exec "$@" ;;
esac
PIDS=
i=0
while [ "$i" -lt "$SHARDS" ]; do
	GTEST_TOTAL_SHARDS=$SHARDS GTEST_SHARD_INDEX=$i "$@" &
	PIDS="$PIDS $!"
	i=$((i + 1))
done
STATUS=0
for pid in $PIDS; do
	wait "$pid" || STATUS=1
done
exit $STATUS
