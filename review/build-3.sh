#!/usr/bin/env bash
# Builds the driver of the scripts review/11 to review/15 and the stand-ins that it contains, after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target gooseberryfall_platform_stand_ins
mkdir -p target/review-3
g++ -std=c++20 -O1 -Isrc review/driver-3.cpp -o target/review-3/driver \
    target/stand_ins/libgooseberryfall_platform_stand_ins.a \
    target/src/http/libgooseberryfall_http.a target/src/kernel/libgooseberryfall_kernel.a \
    -lboost_json -lboost_log -lboost_thread -lboost_system -lssl -lcrypto -lz -lpthread
