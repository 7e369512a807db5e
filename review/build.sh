#!/usr/bin/env bash
# Builds the programs of the cases: their stand-ins are parts of them. Needs no
# more than the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for folder in [1-5]; do
  if [ -e "$folder/case.cpp" ]; then
    g++ -std=c++20 -O1 -g -pthread -o "build/case$folder" "$folder/case.cpp"
  fi
done
