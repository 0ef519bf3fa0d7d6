#!/usr/bin/env bash
# Smoke test of the built executable: it starts without warnings, finds its commands and runs a complete local system.
set -euo pipefail
cd "$(dirname "$0")/.."

warnings=$(./dist/endivewell --help 2>&1 >/dev/null)
if [[ -n "$warnings" ]]; then
    echo "dist/endivewell writes to standard error at start: $warnings" >&2
    exit 1
fi
for role in entry agent; do
    ./dist/endivewell settings check --role "$role" "examples/$role.jsonc" >/dev/null
done
./dist/endivewell local --replicas 2 --once >/dev/null
echo "smoke run passed"
