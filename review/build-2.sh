#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript modules and need no libraries, so this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs ./[0-9]*/run.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
