#!/usr/bin/env bash
# Makes the committed thrift code again. Needs Debian's thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
thrift --gen py:slots,package_prefix=wigeonmill.protocol.gen. \
    -out "$out" wigeonmill/protocol/wigeonmill.thrift
rm -rf wigeonmill/protocol/gen
mkdir -p wigeonmill/protocol/gen
touch wigeonmill/protocol/gen/__init__.py
cp -r "$out"/*/ wigeonmill/protocol/gen/
rm -rf "$out"
