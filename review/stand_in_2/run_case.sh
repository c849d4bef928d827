#!/usr/bin/env bash
# Starts three machines with the programs and settings of the deploy file on loopback, plays one
# case with the stand-ins and ends everything.
#   run_case.sh CASE FOLDER     TROUBLE=0: without the disruption
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
case_name=$1 folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
[ -x target/teasellockd ] && [ -x target/review-2/review_world ] || {
  echo "target/teasellockd and target/review-2/review_world must be built first" >&2
  exit 2
}
net=127.$((1 + (BASHPID / 250) % 250)).$((1 + BASHPID % 250))
work=$(mktemp -d)
pids=()
zones=(zone-a zone-b zone-c)
regions=(west west east)

finish() {
  kill -TERM "${pids[@]}" 2>/dev/null
  sleep 0.3
  kill -KILL "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

render() { # template, number of the machine
  local ip=$net.$2 zone=${zones[$(($2 - 1))]}
  sed -e "s|{{node}}|front-$zone-$2|g" -e "s|{{zone}}|$zone|g" \
    -e "s|{{region}}|${regions[$(($2 - 1))]}|g" \
    -e 's|{{#zones}}.*{{/zones}}|zone-a=west,zone-b=west,zone-c=east|' \
    -e "s|{{ip}}|$ip|g" -e 's|{{internal_ports.0}}|7440|g' -e 's|{{internal_ports.1}}|7455|g' \
    -e "s|{{listen.control}}|$ip:8782|g" -e "s|{{listen.ready}}|$ip:8785|g" \
    -e "s|{{listen.front}}|$ip:8784|g" -e "s|{{data_dir}}|$work/data-$2|g" \
    -e "s|{{seeds}}|$net.1:8782,$net.2:8782,$net.3:8782|g" \
    -e 's|{{fault_tolerance.machines}}|1|g' -e 's|{{bootstrap}}|true|g' \
    -e "s|{{cloud.addr}}|$net.160:8783|g" -e 's|{{bounds.grace_s}}|6|g' \
    -e 's|{{limits.memory_mb}}|260|g' -e 's|{{limits.max_fds}}|4200|g' "$1"
}

for number in 1 2 3; do
  mkdir -p "$work/data-$number"
  for role in control proxy; do
    settings=$work/$role-$number.settings
    render "deploy/$role.settings" $number >"$settings"
    TEASELLOCK_CONFIG=$settings target/teasellockd >"$work/$role-$number.log" 2>&1 &
    pids+=($!)
  done
done

target/review-2/review_world --case "$case_name" --net "$net" --record "$folder/record.txt" \
  --trouble "${TROUBLE:-1}"
verdict=$?
for pid in "${pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || {
    echo "a program has ended" >&2
    verdict=2
  }
done
[ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
exit $verdict
