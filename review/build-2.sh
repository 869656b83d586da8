#!/usr/bin/env bash
# Checks the stand-ins and scripts of cases 4 to 8. They are plain JavaScript and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs lib-3/*.mjs */run.mjs; do
  case "$file" in [1-3]/*) continue ;; esac
  node --check "$file"
done
