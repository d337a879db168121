#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 review/10/case.py
