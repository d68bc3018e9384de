#!/bin/sh
# Installs the missing packages that the build and the tests need.
packages="gcc make pkg-config libapr1-dev libaprutil1-dev libprotobuf-c-dev
libmicrohttpd-dev libcurl4-openssl-dev libjansson-dev libinih-dev
libxxhash-dev libcunit1-dev liblua5.4-dev clang-format cppcheck mandoc spin
gnuplot-nox curl"
missing=
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q '^install ok installed$' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq && DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -qq $missing >/dev/null
