#!/usr/bin/env bash
# Checks the stand-ins of the cases from 6 on. They are Python 3.11 with its
# standard library only, which comes with libglib2.0-dev, a package of the
# deploy file, and need no build.
set -eu
cd "$(dirname "$0")"
python3 -B - standins-2/deployment.py [6-9]*/scenario.py 10*/scenario.py <<'END'
import asyncio
import os
import sys
asyncio.timeout
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
END
