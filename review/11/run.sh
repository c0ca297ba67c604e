#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../common-3 PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
