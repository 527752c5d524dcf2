#!/usr/bin/env bash
# Builds the stand-ins of review/6 to 9: Python without dependencies.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/fleet
