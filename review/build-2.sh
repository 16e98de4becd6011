#!/bin/bash
# Builds the stand-ins of the second review, offline, into target/review-standins-2.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-standins-2
