#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml
