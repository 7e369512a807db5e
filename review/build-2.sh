#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file:
# one program for each case, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in stage load; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "review/stage-2/$source.cpp" \
    -o "target/review-2/$source.o"
done
for folder in review/6 review/7 review/8 review/9 review/10; do
  if [ -e "$folder/case.cpp" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cpp" \
      target/review-2/stage.o target/review-2/load.o \
      -o "target/review-2/case-$(basename "$folder")"
  fi
done
