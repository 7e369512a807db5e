#!/usr/bin/env bash
# Runs the searches of runs.txt that expect the given result; at most three at
# a time. A search that runs out of time, memory or depth counts as failed.
#   model/check.sh holds|fails FOLDER
set -euo pipefail
expected=$1
mkdir -p "$2"
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")"
source=$PWD
export folder source

search() {
  local expected=$1 model=$2 name=$3 options=("${@:4}")
  local work="$folder/$model-$name" out verdict
  if [ "$expected" = fails ]; then options+=("-D$name"); fi
  mkdir -p "$work"
  cd "$work"
  spin -a "${options[@]}" "$source/$model.pml" >spin.log
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DNOREDUCE -DMEMLIM=2000 -o pan pan.c
  # -b: a search that is cut off at its depth limit is an error, too.
  out=$(timeout 240 ./pan -E -b -w24 -m100000 2>&1) || true
  verdict=open
  if grep -q 'assertion violated' <<<"$out"; then
    verdict=fails
  elif grep -q 'errors: 0' <<<"$out" &&
    ! grep -Eq 'not completed|out of memory|max search depth' <<<"$out"; then
    verdict=holds
  fi
  echo "$model $name: $verdict, expected $expected;" \
    "$(grep -Eo '[0-9.e+]+ states, stored' <<<"$out" || echo 'no count')"
  [ "$verdict" = "$expected" ]
}
export -f search

grep "^$expected " runs.txt | xargs -P 3 -L 1 bash -c 'search "$@"' _
