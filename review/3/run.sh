#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" node case.mjs
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
