#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the stand-ins read it.
set -uo pipefail
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
[ -x ../../target/review/cases ] || { echo "build.sh has not run" >&2; exit 2; }
exec ../../target/review/cases stale-order .
