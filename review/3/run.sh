#!/bin/sh
# Plays this case; TROUBLE=0 plays it without the disruption.
exec python3 "$(dirname "$0")/play.py"
