#!/bin/sh
# Builds the stand-ins and the scripts of this review; needs nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 -o target/review/bed review/bed/main.rs
