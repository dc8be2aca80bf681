#!/usr/bin/env bash
# Fails when src/, apps/ or bench/ use a name of the users' platform. Such names are used only in platform/, deploy/ and
# the stand-in's protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
words='untilMs|fencingToken|ackPosition|run-start|run-stop|log-append|log-read|log-newest|keyed\.(op|servers|status|flamingotally)|minion|Flamingotally-[A-Z]|machineClass|apiKeys|pathPrefix"|upperLimit'
if git grep -nE "$words" -- src apps bench ':!*.md'; then
    echo "names of the platform may be used only in platform/, deploy/ and standin/"
    exit 1
fi
