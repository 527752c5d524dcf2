#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later, which need Python alone.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q testbed
