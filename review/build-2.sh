#!/bin/bash
# Builds the stand-ins and checks of the cases 4 to 8 into target/review-2. Run it after the build of deploy/service.toml,
# whose libraries it links. It needs no other package.
set -euo pipefail
cd "$(dirname "$0")/.."

packages="glib-2.0 gio-2.0 jansson libcurl libmicrohttpd libcbor gsl"
for library in target/libftnet.a target/libftwire.a target/libftcore.a target/flintrack; do
  [ -e "$library" ] || { echo "$library is missing: run the build of deploy/service.toml first" >&2; exit 2; }
done
mkdir -p target/review-2
for source in review/src-2/*.cpp; do
  name=$(basename "$source" .cpp)
  # shellcheck disable=SC2046  # pkg-config prints several words
  g++ -std=gnu++17 -O1 -g -Wall -Wextra -Isrc $(pkg-config --cflags $packages) "$source" -o "target/review-2/$name" \
    target/libftnet.a target/libftwire.a target/libftcore.a $(pkg-config --libs $packages) -lm
done
