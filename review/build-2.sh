#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are plain modules in review/lib-2 that need no compiler and no package; this
# checks their syntax. The program itself is built by the deploy file.
set -eu
cd "$(dirname "$0")"
for module in lib-2/*.mjs [0-9]*/*.mjs; do
  node --check "$module"
done
