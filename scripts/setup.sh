#!/usr/bin/env bash
# Installs the packages that the build needs and that are not installed yet.
set -euo pipefail
PACKAGES=(
    build-essential g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
    libboost1.81-dev libboost-json1.81-dev libboost-program-options1.81-dev
    libabsl-dev prometheus-cpp-dev libfmt-dev libcereal-dev libtomlplusplus-dev
    libcppunit-dev librapidcheck-dev libssl-dev libxxhash-dev libzstd-dev gnuplot-nox
)
missing=()
for package in "${PACKAGES[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}"
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
