#!/bin/sh
# Builds the stand-ins of the cases. They are plain JavaScript modules without dependencies, so they are only checked.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file" || exit 1
done
