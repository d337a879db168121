#!/bin/sh
# Writes what was sent, answered and run to review/8/record.txt.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/8/case.py
