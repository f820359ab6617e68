#!/bin/sh
# Runs clang-tidy on the library, the platform adapter and the programs, in six
# processes. Usage: lint.sh [BUILD_DIR]
set -u
BUILD=${1:-build}
ls src/*.c platform/*.c | xargs -P 6 -n 4 clang-tidy --quiet -p "$BUILD" 2>/dev/null
