#!/bin/sh
# The stand-ins of these cases are Perl programs that use the modules of
# Debian's package perl-base (essential on every installation) alone, so nothing
# is compiled here. This checks that they can start.
set -eu
cd "$(dirname "$0")"
perl -Icommon -e 'use Sim; exit 0'
test -x ../target/camphorpoint || {
    echo "build the product first: the command under build in deploy/system.toml" >&2
    exit 1
}
