#!/usr/bin/env bash
# Regenerates the code in src/libs/wire/generated from peer.proto.
set -euo pipefail
cd "$(dirname "$0")/../src/libs/wire"
mkdir -p generated
protoc --cpp_out=generated --grpc_out=generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
