# Functions for scripts that run stand-ins and nodes on loopback. Source it.
# Everything that start has started is ended by its process id when the script
# ends, whatever the reason; nothing else is touched.
#
# Ports, from PORTS_FROM: +1 log, +2 instances, +3 weight store, +100.. engines,
# +200.. services, +300.. callers, +400.. operators, +500.. peers.

PORTS_FROM=${PORTS_FROM:-21000}
BUILD=${BUILD:-build}
camphorpoint=$BUILD/camphorpoint
work=$(mktemp -d)
declare -A pids=()
# Processes that are stopped by SIGSTOP must go on before they can end.
declare -A paused=()

log_address=127.0.0.1:$((PORTS_FROM + 1))
list_address=127.0.0.1:$((PORTS_FROM + 2))
store_address=127.0.0.1:$((PORTS_FROM + 3))
engine_address() { echo "127.0.0.1:$((PORTS_FROM + 100 + $1))"; }
service_address() { echo "127.0.0.1:$((PORTS_FROM + 200 + $1))"; }
caller_address() { echo "127.0.0.1:$((PORTS_FROM + 300 + $1))"; }
operator_address() { echo "127.0.0.1:$((PORTS_FROM + 400 + $1))"; }
peer_address() { echo "127.0.0.1:$((PORTS_FROM + 500 + $1))"; }

# start NAME COMMAND...: runs in the background, its log in $work/NAME.log
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# end NAME [SIGNAL]: ends one process; its exit code is in $ended. Not to be
# called in $(...), which could not wait for this shell's processes.
end() {
    ended=0
    kill "-${2:-TERM}" "${pids[$1]}" 2>/dev/null || true
    wait "${pids[$1]}" 2>/dev/null || ended=$?
    unset "pids[$1]"
}

pause() { kill -STOP "${pids[$1]}"; paused[$1]=1; }
resume() { kill -CONT "${pids[$1]}"; unset "paused[$1]"; }

end_all() {
    local status=$? name
    trap - EXIT
    for name in "${!paused[@]}"; do resume "$name" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do
        kill "${pids[$name]}" 2>/dev/null || true
    done
    # A node that is hung must not hang the script: after 20 s it is killed.
    local tries
    for tries in $(seq 100); do
        local left=0
        for name in "${!pids[@]}"; do
            kill -0 "${pids[$name]}" 2>/dev/null && left=1
        done
        [ "$left" = 0 ] && break
        sleep 0.2
    done
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    if [ "$status" -ne 0 ]; then
        echo "failed; the last lines of each log:" >&2
        find "$work" -name '*.log' -size +0 -exec tail -n 5 {} + >&2 || true
    fi
    [ -n "${KEEP_WORK:-}" ] && echo "logs: $work" >&2 || rm -rf "$work"
    exit "$status"
}
trap end_all EXIT
trap 'exit 130' INT TERM

say() { echo "[$(date +%H:%M:%S)] $*"; }
fail() { echo "FAILED: $*" >&2; exit 1; }

# admin ADDRESS JSON: switches a stand-in's faults
admin() { curl -sf -o /dev/null -X POST "http://$1/admin" -d "$2"; }

# wait_until SECONDS COMMAND...: runs it again until it succeeds
wait_until() {
    local seconds=$1 until
    shift
    until=$((SECONDS + seconds))
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$until" ] || return 1
        sleep 0.1
    done
}

# use_deployment NAME: the users' sizes of today
use_deployment() {
    deployment=$1
    services=3
    case $deployment in
    inventarwerk)
        domains=(graz-a graz-b leoben)
        engines=18 model=base-7b service=inventory-app
        store_rate=5 store_full_speed=2
        ;;
    anthokipos)
        domains=(acharnes-hall aspropyrgos-hall koropi-hall)
        engines=12 model=base-8b service=portal
        store_rate=4 store_full_speed=1
        ;;
    *) fail "no deployment is named $deployment" ;;
    esac
}

domain_of() { echo "${domains[$(($1 % ${#domains[@]}))]}"; }
# Every third engine checks fencing numbers; the others ignore them.
checks_fencing() { [ $(($1 % 3)) = 0 ] && echo true || echo false; }

start_platform() {
    local n
    start log "$BUILD/standin-log" --listen="$log_address"
    start instances "$BUILD/standin-instances" --listen="$list_address" \
        --lag_ms="${LIST_LAG_MS:-0}"
    start store "$BUILD/standin-store" --listen="$store_address" \
        --per_second="$store_rate" --full_speed="$store_full_speed"
    for n in $(seq "$engines"); do
        start "engine-$n" "$BUILD/standin-engine" \
            --listen="$(engine_address "$n")" --store="$store_address" \
            --slots="${SLOTS:-32}" --batch=8 --seed="$n" \
            --check_fencing="$(checks_fencing "$n")" \
            --evict_under_use=allow
    done
    for n in $(seq "$services"); do
        start "service-$n" "$BUILD/standin-service" \
            --listen="$(service_address "$n")"
    done
    wait_until 10 publish_instances || fail "the stand-ins do not answer"
}

node_entry() {
    printf '{"id":"node-%s","domain":"%s","peer_address":"%s",' \
        "$1" "$(domain_of "$1")" "$(peer_address "$1")"
    printf '"caller_address":"%s","state":"live"}' "$(caller_address "$1")"
}
engine_entry() {
    printf '{"id":"engine-%s","domain":"%s","kind":"engine",' \
        "$1" "$(domain_of "$1")"
    printf '"model":"%s","address":"%s","state":"live",' \
        "$model" "$(engine_address "$1")"
    printf '"checks_fencing":%s,"adapter_slots":%s,"batch_limit":8}' \
        "$(checks_fencing "$1")" "${SLOTS:-32}"
}
service_entry() {
    printf '{"id":"service-%s","domain":"%s","kind":"service",' \
        "$1" "$(domain_of "$1")"
    printf '"model":"%s","address":"%s","state":"live"}' \
        "$service" "$(service_address "$1")"
}
# list ENTRY_FUNCTION COUNT: entries with commas between them
list() {
    local n
    for n in $(seq "$2"); do
        [ "$n" = 1 ] || printf ','
        "$1" "$n"
    done
}
instances_json() {
    printf '{"nodes":[%s],"endpoints":[%s,%s]}' \
        "$(list node_entry "$nodes")" "$(list engine_entry "$engines")" \
        "$(list service_entry "$services")"
}
publish_instances() {
    curl -sf -o /dev/null -X PUT "http://$list_address/instances" \
        -d "$(instances_json)"
}

start_node() {
    cat > "$work/node-$1.toml" <<SETTINGS
[node]
name = "node-$1"
failure_domain = "$(domain_of "$1")"
caller_address = "$(caller_address "$1")"
operator_address = "$(operator_address "$1")"
peer_address = "$(peer_address "$1")"
[platform]
log_address = "$log_address"
instance_list_address = "$list_address"
SETTINGS
    start "node-$1" "$camphorpoint" serve --settings="$work/node-$1.toml"
}
is_alive() { curl -sf -o /dev/null "http://$(operator_address "$1")/healthz"; }
is_ready() { curl -sf -o /dev/null "http://$(operator_address "$1")/readyz"; }
start_nodes() {
    local n
    for n in $(seq "$nodes"); do start_node "$n"; done
    for n in $(seq "$nodes"); do
        wait_until 20 is_alive "$n" || fail "node-$n does not answer"
        # Another cluster's node may have answered on a port that it holds.
        kill -0 "${pids[node-$n]}" 2>/dev/null || fail "node-$n has ended"
    done
}
wait_ready() {
    local n
    for n in $(seq "$nodes"); do
        wait_until 30 is_ready "$n" || fail "node-$n is not ready"
    done
}

# addresses ADDRESS_FUNCTION NUMBER...: with commas between them
addresses() {
    local function=$1 n text=
    shift
    for n in "$@"; do text+=${text:+,}$("$function" "$n"); done
    echo "$text"
}
all_callers() { addresses caller_address $(seq "$nodes"); }
all_operators() { addresses operator_address $(seq "$nodes"); }
all_engines() { addresses engine_address $(seq "$engines"); }
all_services() { addresses service_address $(seq "$services"); }

# apply_to NODE WORDS...: camphorpoint apply through a node
apply_to() {
    local node=$1
    shift
    "$camphorpoint" apply --node="$(operator_address "$node")" "$@"
}

# cpu_ms NAME: processor time that a process has used, in milliseconds
cpu_ms() {
    local ticks
    ticks=$(sed 's/.*) //' "/proc/${pids[$1]}/stat" | awk '{print $12 + $13}')
    echo $((ticks * 1000 / $(getconf CLK_TCK)))
}
