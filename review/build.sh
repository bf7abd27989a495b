#!/bin/bash
# Builds the stand-ins of the review into target-review/, after the build of deploy/service.toml, whose libraries they use.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target-review
flags=$(pkg-config --cflags --libs gio-2.0 glib-2.0 jansson libcurl libmicrohttpd libcbor gsl)
for source in review/src/case*.cpp; do
  program=target-review/$(basename "$source" .cpp)
  # shellcheck disable=SC2086  # one word per flag
  g++ -std=c++17 -O1 -g -Wall -Wextra -Isrc -Ireview/src "$source" -o "$program" \
    target/libftnet.a target/libftwire.a target/libftcore.a $flags -lm
done
