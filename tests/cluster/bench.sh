#!/usr/bin/env bash
# Both measures and the costs of the path: out/bench.csv, out/bench.png.
# 1. throughput and latency through one entry against the same load directly
#    on an upstream; 2. memory of an idle caller; 3. the failover gap.
cd "$(dirname "$0")/../.."
LAG_MS=${LAG_MS:-5}
. tests/cluster/cluster.sh
mkdir -p out
SECONDS_EACH=${SECONDS_EACH:-8}
CONNECTIONS=${CONNECTIONS:-16}
GROUPS_TOTAL=3
UPSTREAM_SLOTS=50
UPSTREAM_CONNECTIONS=400
cluster_start
targets=(); metrics=()
for n in 4 5 6 7 8 9; do targets+=(--target "$(vm_address $n):5432"); done
for n in $(seq "$VM_COUNT"); do metrics+=(--metrics "$(vm_address "$n"):9001"); done
groups=(); for g in 1 2 3; do groups+=(--group "despacho-$g"); done

echo "== direct against one entry, reads only, $CONNECTIONS connections"
"$BUILD/teasellock_bench" --direct "$(upstream_address 1 1):5432" --target "$(vm_address 9):5432" --group despacho-1 \
  --connections "$CONNECTIONS" --direct-connections "$CONNECTIONS" --seconds "$SECONDS_EACH" --write-share 0 --seed "${SEED:-1}" || exit 1
echo "== direct against one entry, one connection"
"$BUILD/teasellock_bench" --direct "$(upstream_address 1 1):5432" --target "$(vm_address 9):5432" --group despacho-1 \
  --connections 1 --direct-connections 1 --seconds "$SECONDS_EACH" --write-share 0 --seed "${SEED:-1}" || exit 1
echo "== mixed load over six entries and three groups, sessions roam"
"$BUILD/teasellock_bench" "${targets[@]}" "${groups[@]}" "${metrics[@]}" --connections "$CONNECTIONS" --seconds "$SECONDS_EACH" \
  --write-share 0.2 --read-kinds stock=0.3 --read-kinds invoice=0.1 --roam-share 0.3 --seed "${SEED:-1}" --csv out/bench.csv || exit 1
echo "== memory of idle callers"
"$BUILD/teasellock_bench" --target "$(vm_address 9):5432" --group despacho-1 --connections 1 --seconds 1 --idle 2000 \
  --entry-pid "$(pid_of vm-9)" --seed "${SEED:-1}" || exit 1
echo "== failover gap: the primary of each group is killed in turn"
"$BUILD/teasellock_bench" "${targets[@]}" "${groups[@]}" --watch-gap --connections 6 --seconds 14 --gap-after-ms 1500 \
  --seed "${SEED:-1}" --csv out/gap.csv &
bench=$!
sleep 2
for g in 1 2 3; do
  p=$(primary_of $g); echo "killing $p of despacho-$g"; end_process "upstream-$g-${p#u}" KILL; sleep 3
done
wait $bench || exit 1
[ -e bench/plot.gp ] && (cd out && gnuplot ../bench/plot.gp) && echo "plot in out/"
exit 0
