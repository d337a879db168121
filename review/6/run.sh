#!/bin/sh
# Writes what was sent, answered and run to review/6/record.txt.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/6/case.py
