#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are Python modules
# of this project, and need only what the build of the deploy file puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q bamboovale review
python3 -c "import bamboovale.standins.platform_runner, review.harness2.endless"
