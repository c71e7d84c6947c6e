#!/bin/sh
# Puts the libraries and our packages into target/deps, compiled.
set -eu
libraries=target/.libraries
if ! cmp -s deploy/requirements.txt "$libraries"; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check \
    --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt "$libraries"
fi
rm -rf target/deps/marjoramyard
mkdir -p target/deps/marjoramyard
for package in packages/kernel packages/coordination packages/fleet platform; do
  cp -r "$package/src/marjoramyard/." target/deps/marjoramyard/
done
python3 -m compileall -q target/deps/marjoramyard
