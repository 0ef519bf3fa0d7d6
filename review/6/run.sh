#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && exec node case.mjs
