#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs only
# packages that deploy/system.toml names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
	[ -f "$case/case.c" ] || continue
	gcc -std=gnu11 -O2 -Ireview/standin-2 \
		-o "target/review-2/case-${case#review/}" \
		"$case/case.c" review/standin-2/standin.c -ljansson -lpthread
done
