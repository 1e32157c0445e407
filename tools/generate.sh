#!/usr/bin/env bash
# Generates gen/ from proto/. The generators are pinned here; what they make
# is committed, so that a build needs none of them.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:$(go env GOPATH)/bin"
install() { # command, module, version
  local have
  have=$(go version -m "$(command -v "$1" || echo /nowhere)" 2>/dev/null | awk '$1=="mod"{print $3}') || true
  [ "$have" = "$3" ] || go install "$2@$3"
}
install buf github.com/bufbuild/buf/cmd/buf v1.75.0
install protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go v1.36.12
install protoc-gen-connect-go connectrpc.com/connect/cmd/protoc-gen-connect-go v1.21.1
buf lint
buf generate
