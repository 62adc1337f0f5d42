#!/bin/sh
# Builds all stand-ins that the scripts of the second review start (review/6 to review/10). Run it in the repository's
# root, or anywhere; it needs no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml
