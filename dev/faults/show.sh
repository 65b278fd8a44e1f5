#!/usr/bin/env bash
# Applies each fault patch to a fresh copy of HEAD and verifies that the check of the patch fails.
# Exits with 1 if a check passes or a patched copy does not build.
# usage: dev/faults/show.sh [NAME ...]
set -eu
cd "$(dirname "$0")/../.."
export CARGO_TARGET_DIR="${CARGO_TARGET_DIR:-$PWD/target/faults}"
names=("$@")
if [ ${#names[@]} = 0 ]; then
    for patch in dev/faults/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
missed=0
for name in "${names[@]}"; do
    rm -rf "$tree/copy" && mkdir "$tree/copy"
    # -m sets new modification times, so that cargo does not reuse the build of an earlier fault.
    git archive HEAD | tar -x -m -C "$tree/copy"
    cp "dev/faults/$name.patch" "$tree/fault.patch"
    patch -s -p1 -d "$tree/copy" < "$tree/fault.patch"
    check=$(sed -n 's/^# check: //p' "$tree/fault.patch")
    # shellcheck disable=SC2086
    if (cd "$tree/copy" && RUST_BACKTRACE=0 cargo test -q --locked $check) > "$tree/out" 2>&1; then
        echo "$name: NOT FOUND by cargo test $check"
        missed=1
    elif grep -q '^error' "$tree/out" && ! grep -q 'test result: FAILED' "$tree/out"; then
        echo "$name: does not build"
        missed=1
    else
        message=$(grep -m1 -A1 'panicked at' "$tree/out" | tail -n 1)
        echo "$name: found; $message"
    fi
done
exit $missed
