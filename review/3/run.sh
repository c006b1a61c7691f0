#!/bin/bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
