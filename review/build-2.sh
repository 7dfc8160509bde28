#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of the second review start. Needs a JDK of version 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p target
javac --release 17 -d target ./*.java
