# Functions to run a small deployment on loopback: every VM and every upstream
# is a process with an IP number of its own. Source it; needs BUILD.
# Everything started is recorded by process id and ended by cluster_stop.

set -u
: "${BUILD:=build}"
CLUSTER_DIR=${CLUSTER_DIR:-$(mktemp -d)}
# Each run has a network of its own, so that several can run side by side.
CLUSTER_NET=127.$((1 + (BASHPID / 250) % 250)).$((1 + BASHPID % 250))
ZONES=(zocalo mercado malecon)
REGIONS=(centro-historico centro-historico costera)
VM_COUNT=${VM_COUNT:-9}
CONTROL_COUNT=3
GROUPS_TOTAL=${GROUPS_TOTAL:-3}
UPSTREAMS_PER_GROUP=3
TOKEN_SECRET=demonstration-secret-0123456789
CONTROL_LIST=""
for n in $(seq $CONTROL_COUNT); do CONTROL_LIST+="${CONTROL_LIST:+,}$CLUSTER_NET.$n:9000"; done
# The folder of the daemon of each VM, by number; BUILD where none is given.
declare -A VM_BUILD=()
mkdir -p "$CLUSTER_DIR/pids" "$CLUSTER_DIR/logs"

fail() { echo "FAILED: $*" >&2; exit 1; }

vm_address() { echo "$CLUSTER_NET.$1"; }
upstream_address() { echo "$CLUSTER_NET.$((100 + ($1 - 1) * UPSTREAMS_PER_GROUP + $2))"; } # group, upstream
pid_of() { cat "$CLUSTER_DIR/pids/$1"; }
api() { "$BUILD/teasellock" --vm "$CLUSTER_NET.${API_VM:-1}:9001,$CLUSTER_NET.2:9001,$CLUSTER_NET.3:9001" "$@"; }
sql() { # vm, group, sql
  PGCONNECT_TIMEOUT=5 psql -X -q -At -v ON_ERROR_STOP=1 "host=$(vm_address "$1") port=5432 dbname=despacho-$2 user=caller sslmode=disable" -c "$3"
}
sql_upstream() { # group, upstream, sql
  PGCONNECT_TIMEOUT=5 psql -X -q -At "host=$(upstream_address "$1" "$2") port=5432 dbname=despacho-$1 user=operator sslmode=disable" -c "$3"
}

start_recorded() { # name, command...
  local name=$1; shift
  "$@" >>"$CLUSTER_DIR/logs/$name" 2>&1 &
  echo $! >"$CLUSTER_DIR/pids/$name"
}

start_vm() { # number
  local n=$1 z=$((($1 - 1) % 3)) extra=()
  [ "$n" -le $CONTROL_COUNT ] && extra+=(--data-folder "$CLUSTER_DIR/data-$n") && mkdir -p "$CLUSTER_DIR/data-$n"
  [ -n "${TRACE_SHARE:-}" ] && extra+=(--trace-file "$CLUSTER_DIR/vm-$n.trace" --trace-share "$TRACE_SHARE")
  start_recorded "vm-$n" "${VM_BUILD[$n]:-$BUILD}/teasellockd" --vm "vm-$n" --availability-zone "${ZONES[$z]}" --region "${REGIONS[$z]}" \
    --internal "$(vm_address "$n"):9000" --http "$(vm_address "$n"):9001" --callers "$(vm_address "$n"):5432" \
    --control "$CONTROL_LIST" --token-secret "$TOKEN_SECRET" "${extra[@]}" ${VM_FLAGS:-}
}

start_upstream() { # group, upstream, flags...
  local g=$1 u=$2 z=$((($1 + $2) % 3)); shift 2
  local announce=()
  for n in $(seq "$VM_COUNT"); do announce+=(--announce-to "$(vm_address "$n"):9001"); done
  start_recorded "upstream-$g-$u" "$BUILD/stand_in_upstream" --group "despacho-$g" --name "u$u" \
    --listen "$(upstream_address "$g" "$u"):5432" --availability-zone "${ZONES[$z]}" --region "${REGIONS[$z]}" \
    --slots "${UPSTREAM_SLOTS:-3}" --connections "${UPSTREAM_CONNECTIONS:-25}" --lag-ms "${LAG_MS:-5}" "${announce[@]}" ${UPSTREAM_FLAGS:-} "$@"
}

end_process() { # name, signal
  kill -"${2:-KILL}" "$(pid_of "$1")" 2>/dev/null
}

wait_for() { # seconds, description, command...
  local until=$((SECONDS + $1)) what=$2; shift 2
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $until ] || fail "waited in vain: $what (logs: $CLUSTER_DIR/logs)"
    sleep 0.05
  done
}

control_init() {
  local members=()
  for n in $(seq $CONTROL_COUNT); do
    wait_for 10 "control VM $n" "$BUILD/teasellock" --vm "$(vm_address "$n"):9001" control status
    local store
    store=$("$BUILD/teasellock" --vm "$(vm_address "$n"):9001" control status | sed -n 's/.*"store": *"\{0,1\}\([0-9]*\).*/\1/p' | head -1)
    members+=(--member "$store:vm-$n:$(vm_address "$n"):9000")
  done
  "$BUILD/teasellock" --vm "$(vm_address 1):9001" control init "${members[@]}"
}

write_table() {
  { echo "group,mode,ack_replicas,gateways,queue_ms,failure_ms,age.stock,age.invoice"
    for g in $(seq "$GROUPS_TOTAL"); do echo "despacho-$g,${MODE:-auto},1,2,2000,600,5000,60000"; done
  } >"$CLUSTER_DIR/table.csv"
}

cluster_start() {
  for n in $(seq "$VM_COUNT"); do start_vm "$n"; done
  control_init || fail "control init"
  write_table
  wait_for 10 "the table" api table apply "$CLUSTER_DIR/table.csv"
  for g in $(seq "$GROUPS_TOTAL"); do
    start_upstream "$g" 1 --primary-of
    for u in 2 3; do start_upstream "$g" $u --follow "$(upstream_address "$g" 1):5432"; done
  done
  for g in $(seq "$GROUPS_TOTAL"); do wait_for 15 "group $g" sql $((1 + g % VM_COUNT)) "$g" "DELETE FROM bookings WHERE id = 'none'"; done
}

primary_of() { api groups --json | tr -d ' \n' | sed -n "s/.*\"group\":\"despacho-$1\"[^}]*\"primary\":\"\(u[0-9]*\)\".*/\1/p"; }

cluster_stop() {
  local pids=()
  for f in "$CLUSTER_DIR"/pids/*; do [ -e "$f" ] && pids+=("$(cat "$f")"); done
  [ ${#pids[@]} -gt 0 ] || return
  { kill -CONT "${pids[@]}"; kill -KILL "${pids[@]}"; wait "${pids[@]}"; } 2>/dev/null
}
trap cluster_stop EXIT
