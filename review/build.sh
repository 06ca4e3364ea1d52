#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts into review/build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -pthread "$source" standins/*.cpp -o "build/$name"
done
