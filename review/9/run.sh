#!/bin/sh
# Plays the case and writes what was sent, answered and run to record.txt in its folder.
# TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
RECORD="review/9/record.txt"
PYTHONPATH=target/deps
export PYTHONPATH
# Without the libraries of the build Python would exit with 1.
PYTHONPATH="target/deps:.:review/lib-2" python3 -c "import deployment" || exit 2
exec python3 review/9/run.py --trouble "$TROUBLE" --record "$RECORD"
