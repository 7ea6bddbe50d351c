#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies and run as they are; this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [0-9]/*.js; do node --check "$file"; done
