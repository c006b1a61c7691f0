#!/bin/bash
# The stand-ins are Python 3 with its standard library only: nothing is to be built.
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
