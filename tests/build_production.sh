#!/bin/sh
# Builds the version in production, which deploy/service.toml names, from this repository's history.
# Tests run it together with the current version. usage: build_production.sh SOURCE COMMIT FOLDER
set -eu
source=$1 commit=$2 folder=$3
if ! git -C "$source" cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "build_production.sh: commit $commit is not in this clone's history; fetch the whole history (git fetch --unshallow)" >&2
  exit 1
fi
rm -rf "$folder"
mkdir -p "$folder/source"
git -C "$source" archive "$commit" | tar -x -C "$folder/source"
cmake -S "$folder/source" -B "$folder/target" -DCMAKE_BUILD_TYPE=Release -DFT_TESTS=OFF
cmake --build "$folder/target" --target flintrack -j8
