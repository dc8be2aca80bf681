#!/usr/bin/env bash
# Fails when a name of the users' platform is used outside platform/, deploy/ and the stand-in's protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
words='untilMs|fencingToken|ackPosition|run-start|run-stop|log-append|log-read|log-newest|keyed\.(op|servers|status|flamingotally)|minion|Flamingotally-[A-Z]|machineClass|apiKeys|pathPrefix"|upperLimit'
if git grep -nE "$words" -- src apps bench ':!*.md'; then
    echo "names of the platform belong into platform/"
    exit 1
fi
