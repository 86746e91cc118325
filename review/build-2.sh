#!/usr/bin/env bash
# Builds the driver and the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
c++ -std=c++20 -O2 -Isrc -I. review/driver-2.cpp -o target/review-2/driver \
    target/src/http/libgooseberryfall_http.a target/src/kernel/libgooseberryfall_kernel.a \
    -lboost_json -lboost_thread -lboost_system -lboost_log -lssl -lcrypto -lz -lpthread
