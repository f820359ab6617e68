#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review-3/case-$(basename "$PWD")
logs=$(mktemp -d) || exit 2
"$program" "$logs" "$(pwd)/../../target/peridothall-dispatch"
status=$?
cp "$logs/record.txt" record.txt
rm -rf "$logs"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
