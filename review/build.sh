#!/bin/sh
# Compiles the stand-ins and the scripts of the cases; they need nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
