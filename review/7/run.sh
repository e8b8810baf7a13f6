#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/knapweedpoint ] && [ -x target/review-probe ] || { echo "target/ lacks a program: run the build of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
timeout --signal=TERM --kill-after=3 115 target/review-probe silent "$here/record.txt" &
probe=$!
trap 'kill -TERM "$probe" 2>/dev/null; wait "$probe"; exit 2' TERM INT HUP
wait "$probe"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
