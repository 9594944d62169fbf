#!/bin/sh
# Prepares the cases 11 to 15. Their stand-ins are plain modules without dependencies, so they are only checked.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
