#!/bin/sh
# Builds the stand-ins that the cases start. Needs the JDK only.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -d classes standins/*.java
