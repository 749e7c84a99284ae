#!/bin/bash
# Plays the case crashes, see claim.txt. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.."
exec target/review/standin crashes review/5
