#!/bin/sh
# Builds the stand-ins of the review's cases: they need the standard library only, so
# that it is enough to compile them. The gateway comes from the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'P'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
