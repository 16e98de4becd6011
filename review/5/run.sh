#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs target/release/coriandertide-platform (the build of the deploy file) and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-standins/release/review-standins
[ -x "$program" ] && [ -x target/release/coriandertide-platform ] || exit 2
exec "$program" rolling-restart review/5
