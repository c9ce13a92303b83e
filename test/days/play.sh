#!/usr/bin/env bash
# Runs the days of deploy/days on sites of the users' bench and prints the rules that were
# violated. Usage: FLEETBENCH=PROGRAM test/days/play.sh SITE.toml...
set -euo pipefail
cd "$(dirname "$0")/../.."
bench=${FLEETBENCH:?names the program of the bench}
failed=0
for site in "$@"; do
  for day in deploy/days/*.toml; do
    out=$("$bench" run "$site" "$day" --why "own day $(basename "$day" .toml)" 2>&1) || true
    line=$(grep -E '^[a-z0-9-]+ +[0-9]+/[0-9]+ ' <<<"$out" | head -1 || true)
    echo "$(basename "$site" .toml) ${line:-not played: $(tail -1 <<<"$out")}"
    if grep -q BROKEN <<<"$out"; then
      failed=1
      grep -m3 -E '^[A-Z]+ at ' <<<"$out" || true
    fi
  done
done
exit $failed
