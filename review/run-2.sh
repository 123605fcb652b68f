#!/usr/bin/env bash
# Plays one case of the second review: run-2.sh CASE FOLDER. It starts the processes that the stand-in asks for,
# with the commands of the deploy file, and ends all that it has started.
set -u
case_name=$1
folder=$2
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=()
code=2
cleanup() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
mkfifo "$work/in" "$work/out" || exit 2
cd "$root" || exit 2
timeout -k 2 115 target/review-standin-2 "$case_name" "$work" "$folder/record.txt" "${TROUBLE:-1}" <"$work/in" >"$work/out" &
pids+=($!)
exec 3>"$work/in" 4<"$work/out"
while read -r -u 4 word name role; do
  case $word in
  start)
    FULMARVALVE_CONFIG="$work/$name.json" target/fulmarvalve "$role" >>"$work/$name.log" 2>&1 3>&- 4<&- &
    pids+=($!)
    echo "$name $!" >&3
    ;;
  done) code=$name ;;
  esac
done
[ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$KEEP_LOGS/"
exit "$code"
