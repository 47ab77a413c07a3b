#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 4 to 8 start. They are plain modules for Node.js with no dependency, run as they are
# from review/stand-ins-2, so that only their syntax is checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs; do node --check "$file"; done
