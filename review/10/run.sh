#!/bin/sh
# Writes what was sent, answered and run to review/10/record.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 review/10/case.py
