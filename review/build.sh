#!/usr/bin/env bash
# Builds the stand-ins. They are plain modules of Node.js without dependencies, so only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
test -f ../target/laburnumshift.mjs || echo "run the build command of deploy/system.toml first"
