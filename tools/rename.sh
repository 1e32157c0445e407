#!/usr/bin/env bash
# rename.sh FILE:LINE:COLUMN NEW: renames the identifier at that position and all
# its uses, in tests and other packages too.
set -euo pipefail
export PATH="$PATH:$(go env GOPATH)/bin"
have=$(go version -m "$(command -v gopls || echo /nowhere)" 2>/dev/null | awk '$1=="mod"{print $3}') || true
[ "$have" = v0.23.0 ] || go install golang.org/x/tools/gopls@v0.23.0
gopls rename -w "$1" "$2"
