#!/usr/bin/env bash
# Runs the soak with several seeds, JOBS at a time, each printed with its verdict.
#   SEEDS="1 2 3" SPAN=20 tests/soak/soak.sh   these seeds, 20 s of faults each
#   SEEDS=regressions tests/soak/soak.sh       those of regressions.txt
#   COUNT=50 tests/soak/soak.sh                fresh ones
# More flags for teasellock_soak go behind. Logs of failed seeds are kept.
set -u
cd "$(dirname "$0")/../.."
: "${BUILD:=build}" "${SPAN:=20}" "${JOBS:=3}" "${COUNT:=5}"
: "${SEEDS:=$(for n in $(seq "$COUNT"); do echo $(($(date +%s) % 100000 * 1000 + n)); done)}"
[ "$SEEDS" = regressions ] && SEEDS=$(sed 's/#.*//' tests/soak/regressions.txt)
folder=$(mktemp -d)

run_seed() { # seed, number of the loopback network, flags...
  local seed=$1 network=$2; shift 2
  timeout $((SPAN + 60)) "$BUILD/teasellock_soak" --program "$BUILD/teasellockd" \
    --folder "$folder/$seed" --seed "$seed" --seconds "$SPAN" --network "$network" "$@" \
    >"$folder/$seed.out" 2>&1
  local verdict=$?
  sed -n '/^seed=/,$p' "$folder/$seed.out" | head -20
  [ $verdict -eq 0 ] && rm -rf "${folder:?}/$seed" "$folder/$seed.out" && return 0
  echo "FAILED: seed $seed, verdict $verdict, logs in $folder/$seed"
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
