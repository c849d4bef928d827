#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
program=target/review-3/answer_after_order
if [ ! -x target/teasellockd ] || [ ! -x "$program" ]; then
  echo "build first: the deploy file's build, then review/build-3.sh"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" review/13/record.txt "$folder"
verdict=$?
[ $verdict -le 1 ] || verdict=2
exit $verdict
