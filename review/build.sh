#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library only, so the build needs no network.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
