#!/bin/sh
# Builds what the scripts start beside the programs of the deploy file's build.
# The stand-ins are Python programs, which need no compiling; the interpreter
# comes with libglib2.0-dev, a package of the deploy file. One case upgrades from
# an earlier landing, which is built from the repository's history.
EARLIER=1f647b5
cd "$(dirname "$0")" || exit 1
python3 -B -c '
import ast, glob
for name in ["fleet.py"] + sorted(glob.glob("*/case.py")):
    ast.parse(open(name, encoding="utf-8").read(), name)
    print("checked", name)
' || exit 1
cd .. || exit 1
if ! git cat-file -e "$EARLIER^{commit}" 2>/dev/null; then
  echo "no history with $EARLIER here: the case of the upgrade will not run"
  exit 0
fi
TREE=target/earlier-landing
[ -x "$TREE/target/vanillaferry" ] && exit 0
rm -rf "$TREE" && mkdir -p "$TREE" && git archive "$EARLIER" | tar -x -C "$TREE" &&
  cd "$TREE" || exit 1
BUILD=$(python3 -B -c '
import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])') &&
  sh -c "$BUILD" >build.log 2>&1 || { tail -20 build.log; exit 1; }
echo "built $EARLIER"
