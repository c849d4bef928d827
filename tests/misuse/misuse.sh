#!/usr/bin/env bash
# Plays the crowds of misbehaving callers, one after the other.
# usage: misuse.sh [scenario...]
set -u
cd "$(dirname "$0")/../.."
: "${BUILD:=build}"
SCENARIOS=(large_messages unfinished_messages oversized_messages unread_answers session_settings slow_starts
  unfinished_bodies)
[ $# -eq 0 ] || SCENARIOS=("$@")
folder=$(mktemp -d)
# The limits of the smallest VMs, lowered for descriptors, so that a small crowd reaches them.
printf 'memory-mb="112"\nmax-descriptors="400"\n' >"$folder/entry.settings"
failed=0
number=$((20000 + $$ % 10000))
for scenario in "${SCENARIOS[@]}"; do
  number=$((number + 1))
  timeout 120 "$BUILD/teasellock_misuse" --program "$BUILD/teasellockd" --folder "$folder/$scenario" \
    --network $number --entry-settings "$folder/entry.settings" --scenario "$scenario" >"$folder/$scenario.out" 2>&1
  verdict=$?
  grep '^scenario=' "$folder/$scenario.out" || echo "scenario=$scenario ended with $verdict"
  [ $verdict -eq 0 ] || failed=1
done
[ $failed -eq 0 ] && rm -rf "$folder" || echo "FAILED: logs in $folder"
exit $failed
