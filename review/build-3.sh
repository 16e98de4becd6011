#!/bin/sh
# Builds the stand-ins of the third review, offline; they have no dependencies.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
