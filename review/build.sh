#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are plain JavaScript on Node.js alone, so this checks that each of them parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */case.mjs; do node --check "$file"; done
