#!/usr/bin/env bash
# The stand-ins of the third review need no build; this checks that they can be loaded. Run it after the build of the
# deploy file.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
