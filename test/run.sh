#!/usr/bin/env bash
# Starts a platform, two engines, a plain service and three entry hosts as
# separate processes, and sends requests through them. With --keep it leaves
# them running and prints lines to try; otherwise it stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=${1:-}
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  echo "$!" >"$work/$name.pid"
}

token=demo-token
key_a=key-of-museum-a
key_b=key-of-museum-b
hash_of() { echo -n "$1" | bin/briarlink hash | awk -v form="$2" '$1 == form {print $2}'; }
token_hash=$(hash_of "$token" hex)

start platform bin/standin platform --listen 127.0.0.1:17001
start writer-1 bin/standin engine --listen 127.0.0.1:17101 --checks-fencing
start writer-2 bin/standin engine --listen 127.0.0.1:17102
start service bin/standin service --listen 127.0.0.1:17201
for i in 1 2 3; do
  sed -e "s/@ID@/entry-$i/" -e "s/@ZONE@/valle-central-$i/" -e "s/@CALLER@/1740$i/" -e "s/@OPERATOR@/1750$i/" \
    -e "s/@PEER@/1760$i/" -e "s/@TOKEN@/$token_hash/" examples/entry-host.hujson >"$work/entry-$i.hujson"
  bin/briarlink settings check "$work/entry-$i.hujson" >/dev/null
  start "entry-$i" bin/briarlink serve --settings "$work/entry-$i.hujson"
done

until curl -sf -X PUT 127.0.0.1:17001/control/hosts -d '[{"id":"entry-1","peer_address":"127.0.0.1:17601"},
  {"id":"entry-2","peer_address":"127.0.0.1:17602"},{"id":"entry-3","peer_address":"127.0.0.1:17603"}]'; do sleep 0.1; done
for i in 1 2 3; do
  for try in $(seq 100); do
    curl -sf "127.0.0.1:1750$i/ready" >/dev/null && break
    [ "$try" -lt 100 ] || { echo "entry-$i is not ready:"; cat "$work/entry-$i.log"; exit 1; }
    sleep 0.1
  done
done

export BRIARLINK_ADDRESS=127.0.0.1:17501 BRIARLINK_TOKEN=$token
sed -e "s|@KEY_A@|$(hash_of $key_a base64)|" -e "s|@KEY_B@|$(hash_of $key_b base64)|" test/demo/objects.tmpl.json >"$work/objects.json"
echo "== configuration, published over the operators' calls"
bin/briarlink admin apply "$work/objects.json"
until bin/briarlink admin replicas | grep -c serving | grep -q 2; do sleep 0.1; done
until [ "$(bin/briarlink admin hosts | grep -c 'true  *false')" = 3 ]; do sleep 0.1; done
bin/briarlink admin hosts
bin/briarlink admin replicas

call() { # label, key, question
  bin/standin call --hosts 127.0.0.1:17401,127.0.0.1:17402,127.0.0.1:17403 --key "$2" \
    --text test/demo/treatment-history.txt --pieces 30 --label "$1" --question "$3"
}
echo "== streamed requests over one shared prompt of 30 pieces"
call "museum-a, first" "$key_a" "Which drawer had mould?"
call "museum-a, same prefix" "$key_a" "Which joint was reglued?"
call "museum-b, same text" "$key_b" "Which drawer had mould?"
call "museum-b, same prefix" "$key_b" "Which joint was reglued?"
echo "== a call that must not be repeated, sent twice with one key"
uuid7() { printf '%012x' "$(date +%s%3N)" | sed -E 's/(.{8})(.{4})/\1-\2-7'"$(printf '%03x' $((RANDOM % 4096)))"'-8000-/' | tr -d '\n'; printf '%012x' "$RANDOM$RANDOM"; }
id=$(uuid7)
for _ in 1 2; do
  curl -s -i -X POST 127.0.0.1:17402/services/job-tracking/bookings -H "Authorization: Bearer $key_a" -H "Idempotency-Key: $id" \
    -d "booking of cabinet seven" | grep -iE '^(HTTP|briarlink-run-state|idempotency-replayed)|booked' | tr -d '\r' | tr '\n' ' '
  echo
done
echo "booked at the service: $(curl -s 127.0.0.1:17201/control/booked)"

if [ "$keep" = --keep ]; then
  trap - EXIT
  cat <<TEXT
== running; logs and pids are in $work
curl -s '127.0.0.1:17401/v1/hosts?prefix=cabinet-7' -H 'Authorization: Bearer $key_a'
curl -sN 127.0.0.1:17402/v1/chat/completions -H 'Authorization: Bearer $key_a' -d '{"model":"report-writer","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Which drawer?"}]}'
BRIARLINK_ADDRESS=127.0.0.1:17501 BRIARLINK_TOKEN=$token bin/briarlink admin audit
kill -9 \$(cat $work/entry-3.pid)    # then ask for the hosts again
kill $(echo "${pids[@]}")    # stops everything
TEXT
fi
