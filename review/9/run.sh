#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 run.py
