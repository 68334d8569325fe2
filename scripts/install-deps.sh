#!/usr/bin/env bash
# Installs the Debian 12 packages needed to build, test and check the project. Does nothing if all are installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config ca-certificates
    libpoco-dev libwebsocketpp-dev libboost1.81-dev nlohmann-json3-dev libyaml-cpp-dev libcxxopts-dev
    liblog4cxx-dev prometheus-cpp-dev liburcu-dev libxxhash-dev libssl-dev
    libtomlplusplus-dev doctest-dev librapidcheck-dev libbenchmark-dev clang-format clang-tidy
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
