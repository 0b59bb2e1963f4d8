#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in review/. They are Python files that use the standard library
# only, so there is nothing to compile: this checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/*.py 1[1-5]/*.py <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(encoding="utf-8"), name)
END
