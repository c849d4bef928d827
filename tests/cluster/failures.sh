#!/usr/bin/env bash
# Failures of processes under load. The bench checks afterwards that every
# acknowledged booking exists exactly once, that nothing called "not run" ran,
# and that every session read its writes; each scenario adds checks of its own.
# usage: failures.sh [scenario...]
cd "$(dirname "$0")/../.."
SCENARIOS=(kill_primary_twice kill_gateway_and_primary kill_control_leader freeze_primary freeze_gateway
  cut_primary_from_replicas silent_connections lost_disk racing_operators restart_everything drain rolling_update)
SEED=${SEED:-1}
# The build that rolling_update replaces and goes back to.
OLD_BUILD=${OLD_BUILD:-$BUILD}

load_start() { # seconds
  local targets=() groups=()
  # Entries 6 and 9 carry the load, so that scenarios may harm the others.
  for n in 6 9; do targets+=(--target "$(vm_address $n):5432"); done
  for g in 1 2; do groups+=(--group "despacho-$g"); done
  "$BUILD/teasellock_bench" "${targets[@]}" "${groups[@]}" --watch-gap --connections 6 --seconds "$1" --write-share 0.3 \
    --read-kinds stock=0.3 --roam-share 0.3 --seed "$SEED" >"$CLUSTER_DIR/load" 2>&1 &
  LOAD=$!
  sleep 1.5
}
load_end() {
  wait "$LOAD"; local code=$?
  grep -hE '^(writes_|violations_.*=[1-9]|gap_ms|errors_|sessions_unverified)' "$CLUSTER_DIR/load" | tr '\n' ' '; echo
  [ $code -eq 0 ] || { cat "$CLUSTER_DIR/load"; fail "the load saw a violation or could not finish (exit $code)"; }
  grep -q '^writes_acknowledged=[1-9]' "$CLUSTER_DIR/load" || fail "no write was acknowledged"
}
writes_resume() { # group
  wait_for 15 "writes to despacho-$1" sql 9 "$1" "INSERT INTO bookings (id, rider, place) VALUES ('after-$RANDOM-$RANDOM', 'r', 'p')"
}
# A VM of the gateways of a group that is neither control nor one of the load's entries, if there is one.
gateway_of() { api groups --json | tr -d ' \n' | grep -o '{[^{}]*"group":"despacho-'"$1"'"[^{}]*}' | grep -o '"vm-[0-9]*"' | tr -d '"' | grep -vE 'vm-(6|9)$' | head -1; }
control_leader() {
  for n in 1 2 3; do
    "$BUILD/teasellock" --vm "$(vm_address $n):9001" control status 2>/dev/null | grep -q '"role": "leader"' && { echo "vm-$n"; return; }
  done
}

kill_primary_twice() {
  load_start 10
  local first second
  first=$(primary_of 1); end_process "upstream-1-${first#u}" KILL
  writes_resume 1
  second=$(primary_of 1); [ "$first" != "$second" ] || fail "the primary did not change"
  start_upstream 1 "${first#u}" --follow "$(upstream_address 1 "${second#u}"):5432"
  sleep 2
  end_process "upstream-1-${second#u}" KILL
  writes_resume 1
  load_end
}
kill_gateway_and_primary() {
  load_start 14
  local vm p; vm=$(gateway_of 1); p=$(primary_of 1)
  [ -n "$vm" ] || fail "no gateway to kill"
  end_process "$vm" KILL; end_process "upstream-1-${p#u}" KILL
  writes_resume 1
  load_end
}
kill_control_leader() {
  load_start 10
  local leader p; leader=$(control_leader); [ -n "$leader" ] || fail "no control leader"
  p=$(primary_of 2); [ -n "$p" ] || fail "no primary is shown"
  end_process "$leader" KILL; end_process "upstream-2-${p#u}" KILL
  writes_resume 2; writes_resume 1
  load_end
}
freeze_primary() {
  load_start 12
  local p; p=$(primary_of 1); end_process "upstream-1-${p#u}" STOP
  writes_resume 1
  [ "$(primary_of 1)" != "$p" ] || fail "the frozen primary was not replaced"
  end_process "upstream-1-${p#u}" CONT
  sleep 2
  [ "$(sql_upstream 1 "${p#u}" 'SELECT pg_is_in_recovery()')" = t ] || fail "the deposed primary did not become a replica"
  load_end
}
freeze_gateway() {
  load_start 14
  local vm; vm=$(gateway_of 1); [ -n "$vm" ] || fail "no gateway to freeze"
  end_process "$vm" STOP; sleep 5; end_process "$vm" CONT
  writes_resume 1
  load_end
}
cut_primary_from_replicas() {
  load_start 12
  local p; p=$(primary_of 1)
  for u in u1 u2 u3; do [ $u = "$p" ] || sql_upstream 1 "${p#u}" "SELECT stand_in('cut $u')" >/dev/null; done
  sleep 2
  sql_upstream 1 "${p#u}" "SELECT stand_in('heal')" >/dev/null
  writes_resume 1
  load_end
}
silent_connections() {
  load_start 14
  for u in 1 2 3; do sql_upstream 1 $u "SELECT stand_in('silence')" >/dev/null 2>&1 & done
  sleep 1
  writes_resume 1
  load_end
}
store_of() { "$BUILD/teasellock" --vm "$(vm_address "$1"):9001" control status | sed -n 's/.*"store": *"\{0,1\}\([0-9]*\).*/\1/p' | tail -1; }
voters() { [ "$("$BUILD/teasellock" --vm "$(vm_address 1):9001" control status | grep -c '"voter": true')" = "$1" ]; }
lost_disk() {
  load_start 16
  local old new
  wait_for 10 "three voters" voters 3
  old=$(store_of 2)
  end_process vm-2 KILL; rm -rf "$CLUSTER_DIR/data-2"
  start_vm 2
  wait_for 10 "the wiped VM" "$BUILD/teasellock" --vm "$(vm_address 2):9001" control status
  new=$(store_of 2)
  [ "$old" != "$new" ] || fail "a wiped folder kept its store id"
  "$BUILD/teasellock" --vm "$(vm_address 2):9001" control status | grep -q '"role": "leader"' && fail "a wiped VM leads"
  "$BUILD/teasellock" --vm "$(vm_address 2):9001" control status | grep -q '"committed": 0' || fail "a wiped VM claims to know the log"
  wait_for 15 "the replacement" api control replace --old "$old" --new "$new:vm-2:$(vm_address 2):9000"
  wait_for 10 "three voters again" voters 3
  # A second VM is lost right after the repair.
  end_process vm-3 KILL
  API_VM=1
  sed "s/,2000,/,2500,/" "$CLUSTER_DIR/table.csv" >"$CLUSTER_DIR/table-2.csv"
  wait_for 10 "an edit after the second loss" api table apply "$CLUSTER_DIR/table-2.csv"
  writes_resume 1
  load_end
}
racing_operators() {
  local won=0 lost=0 code pids=()
  local version; version=$(api table get --json | grep -o '"version": *[0-9]*' | grep -o '[0-9]*')
  for i in 1 2 3 4 5 6; do
    sed "s/,2000,/,$((2000 + i)),/" "$CLUSTER_DIR/table.csv" >"$CLUSTER_DIR/table-$i.csv"
    API_VM=$i; api table apply "$CLUSTER_DIR/table-$i.csv" --base-version "$version" --edit-id "race-$i" >"$CLUSTER_DIR/race-$i" 2>&1 &
    pids+=($!)
  done
  for pid in "${pids[@]}"; do wait "$pid"; code=$?; [ $code -eq 0 ] && won=$((won + 1)); [ $code -eq 3 ] && lost=$((lost + 1)); done
  echo "won=$won lost=$lost"
  [ $won -eq 1 ] && [ $lost -eq 5 ] || { cat "$CLUSTER_DIR"/race-*; fail "of six edits of one version, one must win"; }
  # The winner sends its edit again: same answer, no new version.
  local winner; winner=$(grep -l applied "$CLUSTER_DIR"/race-? | head -1); winner=${winner##*-}
  API_VM=3; api table apply "$CLUSTER_DIR/table-$winner.csv" --base-version "$version" --edit-id "race-$winner" || fail "a resent edit was refused"
  [ "$(api table get --json | grep -o '"version": *[0-9]*' | grep -o '[0-9]*')" = $((version + 1)) ] || fail "a resent edit counted twice"
  wait_for 4 "every VM applies the table" api table status
}
restart_everything() {
  local before after
  for i in $(seq 1 100); do
    sed "s/,2000,/,$((3000 + i)),/" "$CLUSTER_DIR/table.csv" >"$CLUSTER_DIR/table-many.csv"
    api table apply "$CLUSTER_DIR/table-many.csv" >/dev/null || fail "edit $i"
  done
  before=$(api table get --json)
  for n in $(seq "$VM_COUNT"); do end_process "vm-$n" KILL; done
  for n in $(seq "$VM_COUNT"); do start_vm "$n"; done
  wait_for 10 "control after the restart" api table get
  after=$(api table get --json)
  [ "$before" = "$after" ] || fail "the table after the restart differs"
  wait_for 10 "every VM applies the table" api table status
  writes_resume 1
}
drain() {
  load_start 10
  local vm; vm=$(gateway_of 1); [ -n "$vm" ] || fail "no gateway to drain"
  end_process "$vm" TERM
  local pid; pid=$(pid_of "$vm")
  wait_for 12 "$vm ends by itself" bash -c "! kill -0 $pid"
  load_end
  grep -q '^writes_not_run=0' "$CLUSTER_DIR/load" || fail "a drain refused writes"
  grep -q '^writes_unknown=0' "$CLUSTER_DIR/load" || fail "a drain cut writes off"
}
restart_as() { # vm number, build
  local pid; pid=$(pid_of "vm-$1")
  end_process "vm-$1" TERM
  wait_for 15 "vm-$1 ends by itself" bash -c "! kill -0 $pid"
  VM_BUILD[$1]=$2
  start_vm "$1"
  wait_for 10 "vm-$1 answers" "$BUILD/teasellock" --vm "$(vm_address "$1"):9001" table get
}
replace_primary() { # group
  local old; old=$(primary_of "$1"); [ -n "$old" ] || fail "no primary is shown"
  end_process "upstream-$1-${old#u}" KILL
  writes_resume "$1"
  start_upstream "$1" "${old#u}" --follow "$(upstream_address "$1" "$(primary_of "$1" | tr -d u)"):5432"
}
edit_table() { # queue time in ms
  sed "s/,2000,/,$1,/" "$CLUSTER_DIR/table.csv" >"$CLUSTER_DIR/table-edit.csv"
  api table apply "$CLUSTER_DIR/table-edit.csv" || fail "an edit with both builds"
  wait_for 10 "every VM applies the edit" api table status
}
# Every VM but the load's entries goes back to the earlier build, control's leader
# among them, and forward again, on the data that the other build has written.
rolling_update() {
  load_start "${UPDATE_SECONDS:-50}"
  for n in 4 1 7 2; do restart_as "$n" "$OLD_BUILD"; done
  replace_primary 1
  edit_table 2500
  for n in 8 3 5; do restart_as "$n" "$OLD_BUILD"; done
  writes_resume 2
  for n in 1 5 2; do restart_as "$n" "$BUILD"; done
  replace_primary 2
  edit_table 2600
  for n in 4 3 7 8; do restart_as "$n" "$BUILD"; done
  writes_resume 1; writes_resume 2
  load_end
}

run_one() {
  # Each scenario has a deployment of its own, which ends with its subshell.
  (
    set +e
    CLUSTER_DIR=$(mktemp -d)
    GROUPS_TOTAL=2
    . tests/cluster/cluster.sh
    cluster_start >/dev/null
    "$1"
  ) 2>&1 | grep -v ' Killed \| Terminated '
  return "${PIPESTATUS[0]}"
}

passed=0; red=0; failed=0
[ $# -gt 0 ] || set -- "${SCENARIOS[@]}"
for scenario in "$@"; do
  echo "== $scenario (seed $SEED)"
  if run_one "$scenario"; then passed=$((passed + 1))
  elif grep -q "^failures.sh $scenario\b" KNOWN-RED.txt 2>/dev/null; then
    red=$((red + 1)); echo "known red: $(grep "^failures.sh $scenario\b" KNOWN-RED.txt)"
  else failed=$((failed + 1)); echo "== $scenario FAILED"; fi
done
echo "known red: $red"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
