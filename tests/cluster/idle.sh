#!/usr/bin/env bash
# What control and probing cost a VM when nothing happens: processor time, bytes
# between VMs and memory, for 1, 3 and 9 groups on nine VMs.
cd "$(dirname "$0")/../.."
SECONDS_EACH=${SECONDS_EACH:-8}

ticks_of() { awk '{print $14 + $15}' "/proc/$(pid_of "vm-$1")/stat"; }
resident_of() { awk '/VmRSS/ {print $2}' "/proc/$(pid_of "vm-$1")/status"; }
bytes_of() { curl -s "http://$(vm_address "$1"):9001/metrics" | awk '/^teasellock_link_bytes_total/ {sum += $2} END {print sum}'; }
gateway_count() { api groups --json | grep -o "\"vm-$1\"" | wc -l; }

for total in 1 3 9; do
  (
    CLUSTER_DIR=$(mktemp -d)
    GROUPS_TOTAL=$total
    . tests/cluster/cluster.sh
    cluster_start >/dev/null
    sleep 3
    declare -A ticks bytes
    for n in $(seq "$VM_COUNT"); do ticks[$n]=$(ticks_of "$n"); bytes[$n]=$(bytes_of "$n"); done
    sleep "$SECONDS_EACH"
    for n in $(seq "$VM_COUNT"); do
      echo "groups=$total vm=vm-$n gateway_of=$(gateway_count "$n") core_percent=$(awk "BEGIN {print ($(ticks_of "$n") - ${ticks[$n]}) / $SECONDS_EACH}")" \
        "bytes_per_second=$((($(bytes_of "$n") - ${bytes[$n]}) / SECONDS_EACH)) resident_kb=$(resident_of "$n")"
    done
  )
done
