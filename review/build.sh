#!/bin/sh
# The stand-ins need no build: this checks that python3 can load them.
cd "$(dirname "$0")/.." || exit 1
export PYTHONDONTWRITEBYTECODE=1
exec python3 -c 'import review.common.engine, review.common.scene'
