#!/bin/sh
# Regenerates src/peer_capnp.rs; needs `capnp` 0.9 or later and `capnpc-rust` 0.27.
set -eu
cd "$(dirname "$0")"
capnp compile -orust:../src peer.capnp
