#!/bin/bash
# Builds the stand-ins that the scripts start. They are plain JavaScript modules without dependencies: nothing has to be
# compiled, so this only checks that Node.js can read each of them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
