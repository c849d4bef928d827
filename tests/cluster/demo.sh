#!/usr/bin/env bash
# A booking through two VMs, a primary killed, the group writing again.
cd "$(dirname "$0")/../.."
. tests/cluster/cluster.sh

echo "starting $VM_COUNT VMs, $GROUPS_TOTAL groups of $UPSTREAMS_PER_GROUP upstreams under $CLUSTER_NET.0"
cluster_start
api groups
api vms
echo "== a booking, written at VM 9 and read back at VM 5"
sql 9 1 "INSERT INTO bookings (id, rider, place) VALUES ('b-1', 'rider-7', 'zocalo')" || fail "first booking"
[ "$(sql 5 1 "SELECT rider FROM bookings WHERE id = 'b-1'")" = rider-7 ] || fail "the booking is not read back"
primary=$(primary_of 1)
[ -n "$primary" ] || fail "no primary is shown"
echo "== killing the primary $primary of despacho-1 with SIGKILL"
begun=$(date +%s%N)
end_process "upstream-1-${primary#u}" KILL
write_again() { sql 9 1 "INSERT INTO bookings (id, rider, place) VALUES ('b-2', 'rider-8', 'malecon')"; }
wait_for 15 "the group writes again" write_again
echo "== written again after $((($(date +%s%N) - begun) / 1000000)) ms"
api groups
rows=$(sql 4 1 "SELECT id FROM bookings ORDER BY id" | tr '\n' ' ')
[ "$rows" = "b-1 b-2 " ] || fail "bookings are '$rows', wanted 'b-1 b-2 '"
echo "== all acknowledged bookings present: $rows"
echo "demo passed"
