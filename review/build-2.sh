#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. They need Python's standard library alone, so there is little to do.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q common2 [4-8]
