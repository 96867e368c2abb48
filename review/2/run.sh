#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/system.toml and review/build.sh. Writes record.txt beside itself.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/crankpick-system ] && [ -x target/review/stand-ins ] || exit 2
exec target/review/stand-ins resets "$here"
