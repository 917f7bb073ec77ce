#!/bin/sh
# Checks the stand-ins that the scripts of cases 6 to 10 start. They are plain
# JavaScript modules without dependencies, so there is nothing to compile.
cd "$(dirname "$0")" || exit 1
for file in kit-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
