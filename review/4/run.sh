#!/usr/bin/env bash
# Case 4; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the kill out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review-2/quota-home
if [ ! -x "$program" ] || [ ! -x target/release/crankpick-system ]; then
  echo "build first: the deploy file's command, then review/build-2.sh" >&2
  exit 2
fi
exec timeout --signal=TERM 100 "$program" "$here"
