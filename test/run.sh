#!/usr/bin/env bash
# Starts a store, two engines, a plain service and three entry hosts as separate
# processes, and sends requests through them. With --keep it leaves them running
# and prints commands to try; otherwise it stops all that it started.
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
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  echo "$!" >"$work/$name.pid"
}

start store bin/standin store --listen 127.0.0.1:17001
start writer-1 bin/standin engine --listen 127.0.0.1:17101 --store 127.0.0.1:17001 --service writer --model m
start writer-2 bin/standin engine --listen 127.0.0.1:17102 --store 127.0.0.1:17001 --service writer --model m
start jobs bin/standin engine --listen 127.0.0.1:17201 --store 127.0.0.1:17001 --service jobs
until bin/standin put --store 127.0.0.1:17001 config test/demo/config.json 2>/dev/null; do sleep 0.1; done
for i in 1 2 3; do
  sed -e "s/@ID@/entry-$i/" -e "s/@ZONE@/valle-central-$i/" -e "s/@CALLER@/1740$i/" -e "s/@DIRECTORY@/1741$i/" \
    -e "s/@READY@/1742$i/" -e "s/@OPERATOR@/1750$i/" -e "s/@METRICS@/1751$i/" -e "s/@PEER@/1760$i/" \
    examples/entry-host.hujson >"$work/entry-$i.hujson"
  bin/briarlink settings check "$work/entry-$i.hujson" >/dev/null
  start "entry-$i" bin/briarlink serve --settings "$work/entry-$i.hujson"
done
for i in 1 2 3; do
  for try in $(seq 100); do
    curl -sf "127.0.0.1:1742$i/-/readyz" >/dev/null && break
    [ "$try" -lt 100 ] || { echo "entry-$i is not ready:"; cat "$work/entry-$i.log"; exit 1; }
    sleep 0.1
  done
done

call() { # arguments of standin call
  bin/standin call --directory 127.0.0.1:17411 --directory 127.0.0.1:17412 --host museum.example "$@" | grep -v '^$'
}
for try in $(seq 100); do
  [ "$(bin/briarlink admin --address 127.0.0.1:17501 replicas --all | grep -c serving)" = 3 ] && break
  [ "$try" -lt 100 ] || { echo "backend servers are not registered"; exit 1; }
  sleep 0.1
done
echo "== a streamed request, then another with the same prefix blocks"
call --key key-of-museum-a --model m --prefix a1:8000,b2:400 --tokens 8400,32 --body "the history of cabinet 7" /reports/1 | tail -2
call --key key-of-museum-a --model m --prefix a1:8000,c3:300 --tokens 8300,32 --body "and its drawers" /reports/2 | tail -2
echo "== an update, which runs at most once, and a view"
call --key key-of-museum-b --body "treated with wax" /updates/7
call --key key-of-museum-b --method GET /views/7
echo "== an OpenAI-compatible call"
curl -s --max-time 5 -H 'Host: museum.example' -H 'Authorization: Bearer key-of-museum-a' 127.0.0.1:17401/openai/v1/chat/completions \
  -d '{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"Which drawer?"}]}' | tail -3
echo "== new weights"
echo '{"Model":"m","Version":2}' >"$work/weights.json"
bin/standin put --store 127.0.0.1:17001 version/m "$work/weights.json"
for try in $(seq 100); do
  [ "$(bin/briarlink admin --address 127.0.0.1:17501 replicas --all | grep -c 'm=2')" = 2 ] && break
  [ "$try" -lt 100 ] || { echo "weights were not loaded"; exit 1; }
  sleep 0.1
done
bin/briarlink admin --address 127.0.0.1:17501 status
echo "== metrics"
curl -s 127.0.0.1:17511/metrics | grep -E '^briarlink_(requests|hosts|config_version)' || true

if [ "$keep" = --keep ]; then
  trap - EXIT
  cat <<TEXT
== running; logs and pids are in $work
curl -s '127.0.0.1:17411/-/resolve?Name=museum.example&Zone=valle-central-1'
bin/briarlink admin --address 127.0.0.1:17502 status
kill -9 \$(cat $work/entry-3.pid)    # then query the directory again
kill ${pids[*]}    # stops everything
TEXT
fi
