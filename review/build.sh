#!/bin/sh
# Builds what the scripts start beside the programs of the deploy file's build.
# The stand-ins are Python programs, which need no compiling; the interpreter
# comes with libglib2.0-dev, a package of the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import ast, glob
for name in ["fleet.py"] + sorted(glob.glob("*/case.py")):
    ast.parse(open(name, encoding="utf-8").read(), name)
    print("checked", name)
'
