#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -x target/fuchsiaroad ] && [ -x target/review-rig-2 ] || { echo "build first: the deploy file's command, then review/build-2.sh"; exit 2; }
exec target/review-rig-2 stop-regress target/fuchsiaroad "$here/record.txt"
