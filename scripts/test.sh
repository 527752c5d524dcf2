#!/usr/bin/env bash
# Checks format, lint and types, then runs every test.
. "$(dirname "$0")/env.sh" requirements-test.txt
ruff format --check .
ruff check .
flake8 .
mypy
python -m pytest "$@"
