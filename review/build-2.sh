#!/bin/sh
# Check the stand-ins of the cases 6 to 10; they are Python files that need no build.
set -e
cd "$(dirname "$0")"
for file in lab2.py 6/run.py 7/run.py 8/run.py 9/run.py 10/run.py; do
    if [ -e "$file" ]; then
        python3.11 -c "compile(open('$file').read(), '$file', 'exec')"
    fi
done
