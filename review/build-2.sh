#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are plain JavaScript in review/lib-2 and need no package, so this only
# checks that each file can be read by the Node.js that runs them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
