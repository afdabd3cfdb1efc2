#!/usr/bin/env bash
# Starts keepers and routers on loopback addresses, measures edits, journal
# begins and the cost of lease traffic, and stops everything by process id.
# Usage: bench-state.sh BUILD [KEEPERS] [ROUTERS]; prints JSON lines.
set -euo pipefail
build=$(realpath "${1:-build}")
keepers=${2:-5}
routers=${3:-9}
ferry=$build/vanillaferry
port=${BENCH_PORT:-29000}
dir=$(mktemp -d "${BENCH_FOLDER:-.}/bench-state.XXXXXX")
# Keepers are killed by the measurement itself.
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT

token=bench-operator
hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
initial=""
peers=()
http=""
for i in $(seq "$keepers"); do
  initial+="${initial:+,}{\"keeper\":\"k$i\",\"peer_url\":\"ws://127.0.0.1:$((port + i))\"}"
  peers+=("ws://127.0.0.1:$((port + i))")
  http+="${http:+,}\"http://127.0.0.1:$((port + 100 + i))\""
done
keeper_pids=()
for i in $(seq "$keepers"); do
  cat >"$dir/k$i.json" <<JSON
{"kind":"keeper","keeper":"k$i","vm":"vm-k$i","zone":"z","http":{"address":"127.0.0.1","port":$((port + 100 + i))},
 "peer":{"address":"127.0.0.1","port":$((port + i))},"data_folder":"$dir/k$i","initial_keepers":[$initial],
 "operators":[{"operator":"bench","token_sha256":"$hash","sections":["*"]}]}
JSON
  "$ferry" keeper --settings "$dir/k$i.json" --initialize 2>"$dir/k$i.log" &
  pids+=($!)
  keeper_pids+=("k$i=$!")
done
echo "{\"kind\":\"operator\",\"keepers\":[$http],\"token\":\"$token\"}" >"$dir/operator.json"
echo '{"zones":[{"id":"z","in_service":true}]}' >"$dir/zones.json"
until "$ferry" document edit zones "$dir/zones.json" --expected-version 0 --edit-id first --settings "$dir/operator.json" >/dev/null 2>&1; do sleep 0.2; done
router_pids=()
for i in $(seq "$routers"); do
  list=$(printf '"%s",' "${peers[@]}")
  cat >"$dir/r$i.json" <<JSON
{"kind":"router","node":"r$i","vm":"vm-r$i","zone":"z","http":{"address":"127.0.0.1","port":$((port + 300 + i))},
 "peer":{"address":"127.0.0.1","port":$((port + 200 + i))},"keepers":[${list%,}]}
JSON
  "$ferry" router --settings "$dir/r$i.json" 2>"$dir/r$i.log" &
  pids+=($!)
  router_pids+=($!)
done
for i in $(seq "$routers"); do
  until curl -sf "http://127.0.0.1:$((port + 300 + i))/readyz" >/dev/null; do sleep 0.1; done
done
sleep 4

# Clock ticks of processor time of the given processes.
ticks() {
  local sum=0 pid
  for pid in "$@"; do sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat"))); done
  echo "$sum"
}
control_bytes() {
  local i
  for i in $(seq "$routers"); do
    curl -s "http://127.0.0.1:$((port + 300 + i))/metrics" | awk '/^vanillaferry_peer_control_bytes_(sent|received)_total/{s+=$2} END{print s+0}'
  done | awk '{s+=$1} END{print s}'
}
leader_of() { "$ferry" status --settings "$dir/operator.json" --json | grep -o '"leader": *"[^"]*"' | cut -d'"' -f4; }
leader=$(leader_of)
leader_pid=$(printf '%s\n' "${keeper_pids[@]}" | grep "^$leader=" | cut -d= -f2)
# A whole number of the quiet links' heartbeat intervals (30 s).
seconds=30
bytes0=$(control_bytes); r0=$(ticks "${router_pids[@]}"); l0=$(ticks "$leader_pid")
sleep "$seconds"
bytes1=$(control_bytes); r1=$(ticks "${router_pids[@]}"); l1=$(ticks "$leader_pid")
hz=$(getconf CLK_TCK)
rss=$(awk '/VmRSS/{print $2}' "/proc/${router_pids[0]}/status")
lrss=$(awk '/VmRSS/{print $2}' "/proc/$leader_pid/status")
awk -v b="$((bytes1 - bytes0))" -v n="$routers" -v k="$keepers" -v s="$seconds" -v r="$((r1 - r0))" -v l="$((l1 - l0))" -v hz="$hz" -v rss="$rss" -v lrss="$lrss" 'BEGIN{
  printf "{\"keepers\":%d,\"routers\":%d,\"idle_control_bytes_per_router_second\":%.1f,\"router_cpu_percent\":%.3f,\"leader_cpu_percent\":%.3f,\"router_rss_kb\":%d,\"leader_rss_kb\":%d}\n", k, n, b/n/s, 100*r/hz/n/s, 100*l/hz/s, rss, lrss}'
"$ferry" bench state --json --settings "$dir/operator.json" --peers "${peers[@]}" --keeper-pid "${keeper_pids[@]}" --folder "$dir"
