#!/bin/sh
# Runs a case: run.sh CASE FOLDER. Exits with 1 if the rule was broken, with 0 if it held and with 2
# if the case could not run. Needs the build of deploy/system.toml and of review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/buckthorncove target/review/release/review-harness; do
    if [ ! -x "$program" ]; then
        echo "$program is missing"
        exit 2
    fi
done
target/review/release/review-harness "$1" "$2"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
