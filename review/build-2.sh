#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
# Run after the build of the deploy file; needs the C++ compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
  -o target/review-2/review_world review/stand_in_2/world.cpp
