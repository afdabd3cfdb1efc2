#!/usr/bin/env bash
# Starts 3 keepers, routers and 20 emulated engines in 4 zones on loopback
# addresses, sends chats that return after pauses, and prints one JSON object:
# cache reuse of returning turns beside its ideal value, skew sampled from the
# engines, refusals, and the routers' placement counters. Stops everything by
# process id; ends after about SECONDS + 20 seconds.
# Usage: bench-cache.sh BUILD [ROUTERS] [SECONDS]
# Environment: BENCH_PORT, BENCH_FOLDER, ENGINES, and for the load RATE, CHATS, TURNS,
# TOKENS (answer length), INTERVAL (milliseconds
# between tokens), PAUSE (least seconds between two turns), WARM_UP
# (seconds that are not counted), CACHE (tokens of each engine), BOUND, LAG
# (milliseconds), ENGINE_CACHE (their real size, when the document is wrong),
# EVENT_LAG (milliseconds), EVENT_LOSS (every Nth), SEED, ZONE_OUT (second at which zone Howrah is taken out),
# EXPORTS (true or false).
set -euo pipefail
build=$(realpath "${1:-build}")
routers=${2:-9}
seconds=${3:-60}
engines=${ENGINES:-20}
zones=(Bantala Tangra Topsia Howrah)
ferry=$build/vanillaferry
standin=$build/vanillaferry-standin
port=${BENCH_PORT:-27000}
dir=$(mktemp -d "${BENCH_FOLDER:-.}/bench-cache.XXXXXX")
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "${BENCH_KEEP:-}" ]; then echo "kept: $dir" >&2; else rm -rf "$dir"; fi
}
trap stop_all EXIT
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
}
wait_for() {
  local tries=100
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -eq 0 ]; then echo "bench-cache: no success of: $*" >&2; exit 1; fi
    sleep 0.2
  done
}
list() { local IFS=,; echo "$*"; }

token=bench-operator
hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
key_hash=$(printf %s bench-key | sha256sum | cut -d' ' -f1)
initial=(); peers=(); http=()
for i in 1 2 3; do
  initial+=("{\"keeper\":\"k$i\",\"peer_url\":\"ws://127.0.0.1:$((port + i))\"}")
  peers+=("\"ws://127.0.0.1:$((port + i))\"")
  http+=("\"http://127.0.0.1:$((port + 100 + i))\"")
done
for i in 1 2 3; do
  cat >"$dir/k$i.json" <<JSON
{"kind":"keeper","keeper":"k$i","vm":"vm-k$i","zone":"${zones[0]}","http":{"address":"127.0.0.1","port":$((port + 100 + i))},
 "peer":{"address":"127.0.0.1","port":$((port + i))},"data_folder":"$dir/k$i","initial_keepers":[$(list "${initial[@]}")],
 "operators":[{"operator":"bench","token_sha256":"$hash","sections":["*"]}]}
JSON
  start "k$i" "$ferry" keeper --settings "$dir/k$i.json" --initialize
done
targets=()
engine_options=()
for i in $(seq "$engines"); do
  start "e$i" "$standin" engine --name "e$i" --port $((port + 400 + i)) --token-interval-ms "${INTERVAL:-60}" \
    --cache-tokens "${ENGINE_CACHE:-${CACHE:-30000}}" --report-lag-ms "${LAG:-0}" --event-lag-ms "${EVENT_LAG:-0}" --event-loss "${EVENT_LOSS:-0}" --cold-limit 0
  engine_options+=(--engine "http://127.0.0.1:$((port + 400 + i))")
  targets+=("{\"id\":\"e$i\",\"vm\":\"vm-e$i\",\"zone\":\"${zones[$((i % 4))]}\",\"url\":\"http://127.0.0.1:$((port + 400 + i))\",\"max_concurrent\":32,\"cold_limit\":32,\"cache_tokens\":${CACHE:-30000},\"checks_fencing\":true,\"resumes\":true,\"exports_kv\":${EXPORTS:-true}}")
done
zone_list() { for z in "${zones[@]}"; do echo "{\"id\":\"$z\",\"in_service\":$([ "$z" = "$1" ] && echo false || echo true)}"; done | paste -sd,; }
echo "{\"kind\":\"operator\",\"keepers\":[$(list "${http[@]}")],\"token\":\"$token\"}" >"$dir/operator.json"
echo "{\"zones\":[$(zone_list none)]}" >"$dir/zones.json"
echo "{\"services\":[{\"name\":\"assistant\",\"kind\":\"engine\",\"bound\":${BOUND:-1.25},\"inner_margin\":0.05,\"allowance\":0,\"idempotent_methods\":[\"GET\"],\"targets\":[$(list "${targets[@]}")]}]}" >"$dir/services.json"
echo '{"models":[{"name":"lot-assistant","version":"1","service":"assistant"}]}' >"$dir/model_versions.json"
echo "{\"accounts\":[{\"id\":\"a1\",\"api_key_sha256\":[\"$key_hash\"],\"max_concurrent\":4000,\"requests_per_second\":4000.0,\"weight\":1,\"enabled\":true}]}" >"$dir/accounts.json"
echo '{"queue_length":1000,"default_deadline_ms":30000,"retry_share":0.1,"retry_floor":10,"max_header_bytes":16384,"max_body_bytes":1048576,"max_stream_bytes":16777216,"slow_sender_ms":10000,"stream_silence_ms":5000,"weight_store_loads_per_minute":6}' >"$dir/limits.json"
for name in zones services model_versions accounts limits; do
  wait_for "$ferry" document edit "$name" "$dir/$name.json" --expected-version 0 --edit-id "first-$name" --settings "$dir/operator.json"
done
router_options=()
for i in $(seq "$routers"); do
  cat >"$dir/r$i.json" <<JSON
{"kind":"router","node":"r$i","vm":"vm-r$i","zone":"${zones[$((i % 4))]}","http":{"address":"127.0.0.1","port":$((port + 300 + i))},
 "peer":{"address":"127.0.0.1","port":$((port + 200 + i))},"keepers":[$(list "${peers[@]}")],"log":{"format":"json"}}
JSON
  start "r$i" "$ferry" router --settings "$dir/r$i.json"
  router_options+=(--router "http://127.0.0.1:$((port + 300 + i))")
done
for i in $(seq "$routers"); do wait_for curl -sf "http://127.0.0.1:$((port + 300 + i))/readyz"; done
sleep 4

if [ -n "${ZONE_OUT:-}" ]; then
  (sleep "$ZONE_OUT"; "$ferry" zone out Howrah --settings "$dir/operator.json" >"$dir/zone.out" 2>&1) &
  pids+=($!)
fi
"$standin" load "${router_options[@]}" "${engine_options[@]}" --api-key bench-key --model lot-assistant \
  --rate "${RATE:-40}" --chats "${CHATS:-400}" --turns "${TURNS:-8}" --max-tokens "${TOKENS:-50}" \
  --min-pause "${PAUSE:-2}" --warm-up "${WARM_UP:-20}" --seconds "$seconds" --seed "${SEED:-1}" --retries 2 \
  >"$dir/load.out" &
pids+=($!)
wait $! || true

metrics() { for i in $(seq "$routers"); do curl -s "http://127.0.0.1:$((port + 300 + i))/metrics"; done; }
counters=$(metrics | awk '
  /^vanillaferry_(placements|parked|walks_exhausted|dispatches|cache|kv|prefix)[a-z_]*(\{[^}]*\})? /{sum[$1]+=$2}
  END{c=""; for(n in sum){m=n; gsub(/"/,"\\\"",m); printf "%s\"%s\":%d", c, m, sum[n]; c=","}}')
restarts=$(cat "$dir"/r*.log | grep -c TargetRestarted || true)
echo "{\"routers\":$routers,\"engines\":$engines,\"target_restarted_events\":$restarts,\"load\":$(cat "$dir/load.out"),\"counters\":{$counters}}"
