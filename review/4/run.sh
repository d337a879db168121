#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run stands
# in record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
rm -f "$here/record.txt"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. exec python3 "$here/case.py"
