#!/usr/bin/env bash
# Runs the soak with several seeds, JOBS at a time, each printed with its verdict.
#   SEEDS="1 2 3" SPAN=20 tests/soak/soak.sh   these seeds, 20 s of faults each
#   SEEDS=regressions tests/soak/soak.sh       those of regressions.txt
#   COUNT=50 tests/soak/soak.sh                fresh ones
# A seed with the suffix +organisations runs a deployment with organisations.
# More flags for teasellock_soak go behind. Logs of failed seeds are kept.
set -u
cd "$(dirname "$0")/../.."
: "${BUILD:=build}" "${SPAN:=20}" "${JOBS:=3}" "${COUNT:=5}"
: "${SEEDS:=$(for n in $(seq "$COUNT"); do echo $(($(date +%s) % 100000 * 1000 + n)); done)}"
[ "$SEEDS" = regressions ] && SEEDS=$(sed 's/#.*//' tests/soak/regressions.txt)
folder=$(mktemp -d)

run_seed() { # seed, number of the loopback network, flags...
  local name=$1 seed=${1%+organisations} network=$2; shift 2
  # The last 8 s of a run with organisations have no faults.
  [ "$name" = "$seed" ] || { set -- --organisations "$@"; SPAN=$((SPAN + 8)); }
  timeout $((SPAN + 60)) "$BUILD/teasellock_soak" --program "$BUILD/teasellockd" \
    --folder "$folder/$name" --seed "$seed" --seconds "$SPAN" --network "$network" "$@" \
    >"$folder/$name.out" 2>&1
  local verdict=$?
  sed -n '/^seed=/,$p' "$folder/$name.out" | head -20
  [ $verdict -eq 0 ] && rm -rf "${folder:?}/$name" "$folder/$name.out" && return 0
  echo "FAILED: seed $name, verdict $verdict, logs in $folder/$name"
  touch "$folder/failed"
}

number=$(($$ % 20000))
for seed in $SEEDS; do
  while [ "$(jobs -rp | wc -l)" -ge "$JOBS" ]; do wait -n; done
  number=$((number + 1))
  run_seed "$seed" $number "$@" &
done
wait
[ ! -e "$folder/failed" ] && rmdir "$folder"
