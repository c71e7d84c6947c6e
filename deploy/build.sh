#!/bin/sh
# Puts the libraries and our packages into target/deps, compiled. What has
# not changed since the last build is left alone.
set -eu
cd "$(dirname "$0")/.."
# Other users than the one who builds may run the program.
umask 022
packages="packages/kernel packages/coordination packages/fleet platform"

# Waits until another build of this checkout has ended.
lock_target() {
  mkdir -p target
  exec 9>target/.lock
  python3 -c 'import fcntl; fcntl.flock(9, fcntl.LOCK_EX)'
}

# Prints for which interpreters and processors compiled modules are built.
python_abi() {
  python3 -c '
import sys, sysconfig
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is required; python3 is %d.%d" % sys.version_info[:2])
print(sysconfig.get_config_var("SOABI"))'
}

cksum_sources() {
  for package in $packages; do
    find "$package/src" -type f ! -name '*.pyc' -exec cksum {} +
  done | sort | cksum
}

# Compiled files are valid for copies too, whose modification times may differ.
compile_all() {
  python3 -m compileall -q --invalidation-mode unchecked-hash "$1"
}

# A stamp is moved into place together with what it stands for, so that an
# interrupted build leaves none.
build_libraries() {
  rm -rf target/new
  python3 -m pip install --quiet --disable-pip-version-check --no-compile \
    --target target/new -r deploy/requirements.txt
  compile_all target/new
  echo "$1" > target/new/.libraries
  rm -rf target/deps
  mv target/new target/deps
}

build_packages() {
  rm -rf target/new
  mkdir target/new
  for package in $packages; do
    cp -r "$package/src/marjoramyard/." target/new/
  done
  chmod -R a+rX target/new
  compile_all target/new
  echo "$1" > target/new/.sources
  rm -rf target/deps/marjoramyard
  mv target/new target/deps/marjoramyard
}

has_libraries() {
  [ "$libraries" = "$(cat target/deps/.libraries 2>/dev/null)" ]
}

has_packages() {
  [ "$sources" = "$(cat target/deps/marjoramyard/.sources 2>/dev/null)" ]
}

abi=$(python_abi)
libraries="$abi $(cksum < deploy/requirements.txt)"
sources=$(cksum_sources)
# Nothing is written then: the checkout may be read-only here.
if has_libraries && has_packages; then
  exit 0
fi
lock_target
if ! has_libraries; then
  build_libraries "$libraries"
fi
sources=$(cksum_sources)
if ! has_packages; then
  build_packages "$sources"
fi
