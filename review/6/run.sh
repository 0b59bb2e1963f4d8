#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$(readlink -f "$0")")/case.py"
