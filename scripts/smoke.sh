#!/usr/bin/env bash
# Checks that the built binary starts and finds its commands.
set -euo pipefail
cd "$(dirname "$0")/.."
./dist/endivewell --help >/dev/null
echo "smoke run passed"
