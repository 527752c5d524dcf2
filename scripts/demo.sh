#!/usr/bin/env bash
# Starts the whole system in one process, sends it a few hundred requests,
# takes a failure domain out and back, and prints what came of them.
. "$(dirname "$0")/env.sh" requirements.txt
python -m bench demo "$@"
