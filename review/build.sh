#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -pthread "$source" -o "target/review/case-$number"
done
