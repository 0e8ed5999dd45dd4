#!/usr/bin/env bash
# A new version of an adapter is named while its replica is busy; see claim.txt.
# TROUBLE=0 names none. Exit code: 1 broken, 0 held, 2 could not run.
case=6
. "$(dirname "${BASH_SOURCE[0]}")/../common-2/deployment.sh"
folder=$root/review/6
rm -f "$folder/record.txt"
nodes=3
replicas=3
read -r -a port <<<"$("$programs/free-ports" $((1 + replicas + 4 * nodes)))"
cat >"$work/config.json" <<'CONFIG'
{"version":1,
 "routes":[{"name":"lm","hostname":"stage.example","path_prefix":"/lm/",
  "service":"lm","type":"streaming","resumable":true,"attempts":2,
  "timeout_ms":15000,"target_latency_ms":1000,"target_gap_ms":300,
  "priority":0,"session_affinity":true}],
 "services":[{"name":"lm","max_connections":250,"health_check":"/health",
  "engine":{"adapter_slots":19,"weights_mb":67000,"loads_per_s":5.2,
   "models":[{"name":"m0","weights_mb":65100,"load_s":0.6,"adapters":3000,
    "adapter_mb":12}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,
  "header_timeout_ms":5000,"idle_timeout_ms":15000}}
CONFIG
start_store "${port[0]}" "$work/config.json"
sleep 0.5
callers=()
for ((each = 0; each < nodes; ++each)); do
    from=$((1 + replicas + 4 * each))
    start_node "node-$((each + 1))" "${port[0]}" "${port[from]}" \
        "${port[from + 1]}" "${port[from + 2]}" "${port[from + 3]}"
    callers+=("${port[from]}")
done
"$programs/case-$case" "$folder/record.txt" "${port[0]}" \
    "${port[@]:1:replicas}" "${callers[@]}" &
started+=("$!")
wait "$!"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"
exit "$code"
