#!/usr/bin/env bash
# Builds every stand-in that a script starts. They are plain JavaScript modules
# for the Node.js that runs the daemons, so there is only their syntax to check.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
