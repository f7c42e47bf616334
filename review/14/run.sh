#!/usr/bin/env bash
# Needs the build of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/14/run.mjs
