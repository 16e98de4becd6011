#!/bin/sh
# Exit status 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-3/release/review-standins-3
if [ ! -x "$case" ] || [ ! -x target/release/coriandertide-platform ]; then
    echo "build first: the deploy file's build, then review/build-3.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$case" taken_stream "$folder" review/15/record.txt
