#!/usr/bin/env bash
# Plays the case; 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
standins=target/review-2/standins
if [ ! -x "$standins" ]; then
    echo "review/build-2.sh has not been run" >&2
    exit 2
fi
timeout -k 2 115 "$standins" doubled-records . review/6/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
