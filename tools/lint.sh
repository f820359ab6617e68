#!/bin/sh
# Runs clang-tidy over the library, the adapter and the programs, six files at a time.
set -u
BUILD=${1:-build}
ls src/*.c platform/*.c | xargs -P 6 -n 4 clang-tidy --quiet -p "$BUILD" 2>/dev/null
