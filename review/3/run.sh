#!/bin/sh
# Plays case 3, see claim.txt. Writes record.txt beside it. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../play.sh" 3
