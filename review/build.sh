#!/bin/sh
# Builds the stand-ins of the scripts: plain Python, so they are only compiled here.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
