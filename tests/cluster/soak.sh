#!/usr/bin/env bash
# Runs the failures ROUNDS times with a new seed each, printed first.
cd "$(dirname "$0")/../.."
for round in $(seq "${ROUNDS:-10}"); do
  seed=$(date +%s)$round
  echo "== round $round, seed $seed"
  SEED=$seed tests/cluster/failures.sh || { echo "failed with SEED=$seed"; exit 1; }
done
