#!/usr/bin/env bash
# Plays the case of claim.txt; with TROUBLE=0 without the disruption. Exit code 1: the rule was broken, 0: it held,
# 2: the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-2.sh" returned "$folder"
