#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: it couldn't run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review/standin" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$root/target/review/standin" unsigned "$root" "$here"
