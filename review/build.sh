#!/bin/sh
# The stand-ins are plain JavaScript of this folder, without dependencies: nothing is compiled, only checked.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
[ -f ../target/front.mjs ] || { echo 'target/front.mjs is missing: run the build of deploy/system.toml first'; exit 1; }
