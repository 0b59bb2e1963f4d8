#!/usr/bin/env bash
# Starts the case; exit status 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
case "${TROUBLE:=1}" in
  0 | 1) export TROUBLE ;;
  *)
    echo "TROUBLE=$TROUBLE: expected 0 or 1" >&2
    exit 2
    ;;
esac
exec python3 case.py
