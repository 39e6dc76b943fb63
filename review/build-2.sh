#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: byte code, and a check
# that they can be imported with the libraries of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/lib-2 review/6 review/7 review/8 review/9 || exit 1
PYTHONPATH=target/deps:.:review/lib-2 python3 -c "import deployment, drill_store"
