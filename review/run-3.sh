#!/usr/bin/env bash
# Plays a case of this review: run-3.sh NUMBER. With TROUBLE=0 it leaves the disruption out.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not be played.
set -u
number=$1
root=$(cd "$(dirname "$0")/.." && pwd)
record="$root/review/$number/record.txt"
if [ ! -x "$root/target/fulmarvalve" ] || [ ! -x "$root/target/standin-3" ]; then
  echo "not built: run the build of deploy/system.toml and review/build-3.sh"
  exit 2
fi
directory=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]:-}"; do
    [ -z "$pid" ] || kill -CONT "$pid" 2>/dev/null
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$directory"
}
trap finish EXIT

TROUBLE="${TROUBLE:-1}" "$root/target/standin-3" "$number" "$directory" "$record" &
standin=$!
pids+=("$standin")
for _ in $(seq 100); do
  [ -e "$directory/settings.ready" ] && break
  sleep 0.05
done
cd "$root" || exit 2
start() {
  role=direct-entry
  case $1 in backend-*) role=direct-backend ;; esac
  FULMARVALVE_CONFIG="$directory/$1.json" target/fulmarvalve "$role" >>"$directory/$1.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"$directory/$1.pid"
}
for settings in "$directory"/*.json; do
  [ ! -e "$settings" ] || start "$(basename "$settings" .json)"
done
while kill -0 "$standin" 2>/dev/null; do
  # A process that the stand-in has killed is started again after a short delay, as the platform does.
  for mark in "$directory"/*.restart; do
    [ -e "$mark" ] || continue
    rm "$mark"
    sleep 0.3
    start "$(basename "$mark" .restart)"
  done
  sleep 0.05
done
wait "$standin"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS"
  cp "$directory"/*.log "$KEEP_LOGS"/
fi
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
