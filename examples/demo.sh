#!/usr/bin/env bash
# Starts a small fleet on loopback addresses, sends a chat, its follow-up and
# one order with a resend through different routers, shows the status and stops
# everything by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
ferry=$build/vanillaferry
standin=$build/vanillaferry-standin
run=run
operator=(--settings examples/operator.json)
rm -rf "$run"
mkdir -p "$run"

pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids+=($!)
}

# Another process on one of the ports would otherwise answer in place of ours.
all_run() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null || { echo "demo: a process ended early; see $run/*.log" >&2; exit 1; }
  done
}

wait_for() {
  local what=$1 tries=100
  shift
  until all_run && "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -eq 0 ]; then
      echo "demo: $what did not become ready; see $run/*.log" >&2
      exit 1
    fi
    sleep 0.2
  done
}

section() { printf '\n== %s\n' "$1"; }

for i in 1 2 3; do
  start "engine-$i" "$standin" engine --name "engine-$i" --port $((18100 + i)) --cold-limit 2 --warm-after 4
done
start auction-1 "$standin" service --name auction-1 --port 18201
for i in 1 2 3; do start "keeper-$i" "$ferry" keeper --settings "examples/keeper-$i.json" --initialize; done
# Time for a process to end when its port is taken.
sleep 0.5
wait_for "a leading keeper" "$ferry" status "${operator[@]}"

section "the document, section by section"
for name in zones services model_versions accounts limits; do
  "$ferry" document edit "$name" "examples/document/$name.json" --expected-version 0 "${operator[@]}"
done
for i in 1 2; do start "router-$i" "$ferry" router --settings "examples/router-$i.json"; done
for i in 1 2; do wait_for "router-$i" curl -sf "http://127.0.0.1:1860$i/readyz"; done

chat() {
  local router=$1 body=$2
  curl -sS -N -D "$run/headers" "http://127.0.0.1:$router/v1/chat/completions" \
    -H 'Authorization: Bearer demo-key' -H 'X-Chat-Id: demo-chat' -d "$body" >"$run/answer"
  grep -i '^x-placement' "$run/headers" | tr -d '\r'
  grep -o '"content":"[^"]*"' "$run/answer" | cut -d'"' -f4 | tr -d '\n'
  echo
  grep -o '"cached_tokens":[0-9]*' "$run/answer" || true
  grep -q '^data: \[DONE\]' "$run/answer"
}

question='{"role":"user","content":"Is lot 2187 of goat offcuts good enough for wallets?"}'
section "a streamed chat through router-1"
chat 18601 "{\"model\":\"lot-assistant\",\"stream\":true,\"max_tokens\":12,\"messages\":[$question]}"
first=$(grep -i '^x-placement' "$run/headers" | tr -d '\r')
answer=$(grep -o '"content":"[^"]*"' "$run/answer" | cut -d'"' -f4 | tr -d '\n')

section "its follow-up through router-2"
chat 18602 "{\"model\":\"lot-assistant\",\"stream\":true,\"max_tokens\":12,\"messages\":[$question,{\"role\":\"assistant\",\"content\":\"$answer\"},{\"role\":\"user\",\"content\":\"And for straps?\"}]}"
second=$(grep -i '^x-placement' "$run/headers" | tr -d '\r')
if [ "$(echo "$first" | grep -o 'engine-[0-9]')" != "$(echo "$second" | grep -o 'engine-[0-9]')" ]; then
  echo "demo: the follow-up did not land on the engine that holds its prefix" >&2
  exit 1
fi

order() {
  curl -sS -D "$run/headers" "http://127.0.0.1:$1/services/auction/reservations" \
    -H 'Authorization: Bearer demo-key' -H "Idempotency-Key: $key" -d '{"lot":2187,"bundles":4}'
  echo
  grep -i '^x-placement' "$run/headers" | tr -d '\r' || true
}
section "one order through router-1, and its resend through router-2"
key=$(curl -sS -X POST -H 'Authorization: Bearer demo-key' http://127.0.0.1:18601/v1/keys | grep -o '"key":"[^"]*"' | cut -d'"' -f4)
order 18601
order 18602
runs=$(curl -sS http://127.0.0.1:18201/stats | grep -o '"runs":{[^}]*}')
echo "the service's own record: $runs"
echo "$runs" | grep -q ':1}' || { echo "demo: the order did not run exactly once" >&2; exit 1; }

section "status"
"$ferry" status "${operator[@]}"
section "done"
