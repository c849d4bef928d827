#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3/. They need the
# compiler alone.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in net backends deployment; do
  g++ -std=c++20 -Wall -Wextra -O1 -c "review/stand_in_3/$source.cpp" \
    -o "$out/$source.o" &
done
wait
for source in review/stand_in_3/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -Wall -Wextra -O1 "$source" "$out/net.o" "$out/backends.o" \
    "$out/deployment.o" -pthread -o "$out/${name#case_}"
done
