#!/bin/bash
# Plays the case lost-kind, see claim.txt. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.."
[ -x target/review/standin ] || exit 2
exec target/review/standin lost-kind review/3
