#!/bin/sh
# Installs the pinned libraries and the package, with its byte code, under target/.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! -e target/.libraries ] || [ requirements.lock -nt target/.libraries ] ||
    [ deploy/requirements.txt -nt target/.libraries ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" \
        --constraint requirements.lock --requirement deploy/requirements.txt
    touch target/.libraries
fi
rm -rf "$deps/ebonyladder"
cp -r src/ebonyladder "$deps/ebonyladder"
python3 -m compileall -q "$deps" || true
