#!/usr/bin/env bash
# The stand-ins of the cases need no build: they use Node.js alone. This checks that it can
# read them, and that the gateway was built.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
test -f ../target/start.cjs || {
  echo 'build the deploy file first' >&2
  exit 1
}
