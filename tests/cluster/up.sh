#!/usr/bin/env bash
# Starts the demonstration deployment and keeps it until Ctrl-C.
cd "$(dirname "$0")/../.."
. tests/cluster/cluster.sh
cluster_start >/dev/null
echo "callers:   psql \"host=$(vm_address 9) port=5432 dbname=despacho-1 user=caller\""
echo "operators: $BUILD/teasellock --vm $(vm_address 1):9001 groups --watch"
echo "logs:      $CLUSTER_DIR/logs; Ctrl-C ends everything"
trap 'exit 0' INT TERM
while :; do sleep 1; done
