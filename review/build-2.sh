#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside target/router.cjs. Their stand-ins are plain modules of
# Node.js without dependencies, so that it is enough to check that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
