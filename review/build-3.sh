#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs: there is nothing to compile.
cd "$(dirname "$0")" && exec python3 -B -c '
import ast, pathlib
for path in [*pathlib.Path("standins-3").glob("*.py"), *pathlib.Path().glob("1[1-5]/*.py")]:
    ast.parse(path.read_text())
'
