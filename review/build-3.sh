#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are plain modules for Node.js without dependencies, so that only their
# syntax is checked. The routers are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
