#!/bin/sh
# Puts the libraries and our packages into target/deps, compiled. What has
# not changed since the last build is left alone.
set -eu
stamp() { find "$@" -type f ! -name '*.pyc' -exec cksum {} + | sort | cksum; }
packages="packages/kernel packages/coordination packages/fleet platform"
sources=
for package in $packages; do sources="$sources $package/src"; done

if ! cmp -s deploy/requirements.txt target/.libraries; then
  rm -rf target/deps target/.sources
  python3 -m pip install --quiet --disable-pip-version-check \
    --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt target/.libraries
fi
# shellcheck disable=SC2086 # the list of folders is split on purpose
now=$(stamp $sources)
if [ "$now" != "$(cat target/.sources 2>/dev/null)" ]; then
  rm -rf target/fresh
  mkdir -p target/fresh
  for package in $packages; do
    cp -r "$package/src/marjoramyard/." target/fresh/
  done
  python3 -m compileall -q target/fresh
  rm -rf target/deps/marjoramyard
  mv target/fresh target/deps/marjoramyard
  echo "$now" > target/.sources
fi
