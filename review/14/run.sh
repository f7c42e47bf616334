#!/usr/bin/env bash
# Needs the build of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; with
# TROUBLE=0 the case is played without its disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" node review/14/run.mjs &
program=$!
trap 'kill -TERM "$program"' TERM INT HUP
wait "$program"
code=$?
while kill -0 "$program" 2>/dev/null; do wait "$program"; code=$?; done
case "$code" in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
