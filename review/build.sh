#!/bin/bash
# Builds the stand-ins of the review, offline, into target/review-standins.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review-standins
