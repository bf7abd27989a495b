#!/bin/sh
# Makes tests/corpus/wire_8fb6b9e.json, which holds what the wire layer of commit 8fb6b9e writes and
# reads for the inputs in tests/corpus/wire_inputs.json. Run it again only when an input is added, never
# to remove a difference that a test reports. usage, in the repository's root:
# tests/capture/capture.sh SCRATCH_FOLDER
set -eu
commit=8fb6b9e folder=$1
rm -rf "$folder/source" "$folder/target"
mkdir -p "$folder/source"
git archive "$commit" | tar -x -C "$folder/source"
cmake -S "$folder/source" -B "$folder/target" -DCMAKE_BUILD_TYPE=Release -DFT_TESTS=OFF
cmake --build "$folder/target" --target ftwire -j3
packages="glib-2.0 jansson libcbor"
# shellcheck disable=SC2046,SC2086  # each flag must be a separate word
c++ -std=c++17 -DWIRE_NAMES="\"names_$commit.hpp\"" -I "$folder/source/src" -I tests/capture $(pkg-config --cflags $packages) \
  tests/capture/capture_main.cpp -o "$folder/capture" "$folder/target/libftwire.a" "$folder/target/libftcore.a" \
  $(pkg-config --libs $packages) -lm
"$folder/capture" tests/corpus/wire_inputs.json >"$folder/wire_$commit.json"
mv "$folder/wire_$commit.json" "tests/corpus/wire_$commit.json"
