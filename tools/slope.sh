#!/usr/bin/env bash
# Measures what an entry host spends on a cell of N workers (default 50) of 12
# tasks each at rest, over loopback. Takes about 40 seconds and ports 7000 to
# 7002, 7400 to 7402, and 21000 and up. docs/CAPACITY.md has its results.
set -euo pipefail
cd "$(dirname "$0")/.."
n=${1:-50}
go build -o bin/ ./cmd/...
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait' EXIT
bin/standin platform --lag 100ms & pids+=($!)
sleep 0.5
bin/standin worker --name w --count "$n" --addr 127.0.0.1:21000 --data-centre a & workers=$!; pids+=("$workers")
sleep 1
bin/pepperhatch serve --name e1 --data-centre a --data-centres a --log-level error \
  --table http://127.0.0.1:7000 --objects http://127.0.0.1:7001 --hosts http://127.0.0.1:7002 & entry=$!; pids+=("$entry")
sleep 5
bin/pepperhatch service add --cell a --name s --tasks $((n * 7)) --cores 2 --mem 4000 --yes > /dev/null
bin/pepperhatch job add --cell a --name j --tasks $((n * 5)) --cores 2 --mem 4000 --run 1h --yes > /dev/null
sleep 8
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
seconds=20
e0=$(ticks "$entry"); w0=$(ticks "$workers"); b0=$(bytes)
sleep $seconds
e1=$(ticks "$entry"); w1=$(ticks "$workers"); b1=$(bytes)
hz=$(getconf CLK_TCK)
awk -v n="$n" -v e=$((e1 - e0)) -v w=$((w1 - w0)) -v b=$((b1 - b0)) -v s=$seconds -v hz="$hz" \
  -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$entry/status")" \
  'BEGIN {printf "%d workers: entry host %.1f%% of a core, %.1f MB; stand-ins %.1f%%; %.0f KB/s on loopback\n", n, 100*e/hz/s, rss/1024, 100*w/hz/s, b/s/1000}'
