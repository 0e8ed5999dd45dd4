# Functions of the scripts of the second review. A script names its folder in
# $case before it reads this file.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
programs=$root/build/review-2
work=$(mktemp -d)
started=()

end_all() {
    for each in "${started[@]}"; do
        kill -CONT "$each" 2>/dev/null
        kill -KILL "$each" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT

for each in "$root/target/camphorpoint" "$programs/standin-metadata" \
    "$programs/case-$case"; do
    [ -x "$each" ] || { echo "missing: ${each#"$root"/}" >&2; exit 2; }
done

# start_store PORT CONFIG-FILE
start_store() {
    "$programs/standin-metadata" --listen="127.0.0.1:$1" --config="$2" \
        >"$work/store.log" 2>&1 &
    started+=("$!")
}

# render_settings NAME STORE-PORT CALLER READINESS PEER METRICS: fills in the
# deploy file's template as the platform does, for a small deployment.
render_settings() {
    sed -e "s/{{node}}/$1/; s/{{zone}}/z1/" \
        -e "s/{{listen.front}}/127.0.0.1:$3/" \
        -e "s/{{listen.readiness}}/127.0.0.1:$4/" \
        -e "s/{{ip}}:{{port_range.0}}/127.0.0.1:$5/" \
        -e "s/{{ip}}:{{port_range.1}}/127.0.0.1:$6/" \
        -e "s/{{provider.address}}/127.0.0.1:$2/" \
        -e "s/{{bounds.grace_s}}/${grace_s:-8}/; s/{{bounds.drain_ms}}/2000/" \
        -e "s/{{[#\/]heartbeat_ms}}//g; s/{{heartbeat_ms}}/1200/" \
        -e "s/{{bounds.retry_budget_ratio}}/0.2/" \
        -e "s/{{bounds.budget_slack}}/54/" \
        -e "s/{{bounds.budget_window_s}}/10/" \
        -e "s/{{bounds.fencing_enforced}}/true/" \
        "$root/deploy/entry.toml" >"$work/$1.toml"
}

# start_node, with the same words: the deploy file's command, with these
# settings.
start_node() {
    render_settings "$@"
    (cd "$root" && CAMPHORPOINT_BOOT="$work/$1.toml" \
        exec target/camphorpoint serve) >"$work/$1.log" 2>&1 &
    started+=("$!")
}
