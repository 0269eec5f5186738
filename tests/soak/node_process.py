"""A relay node whose connections to endpoints can be cut through a file.

SIGHUP is blocked before anything else is imported, as in ``start_relay``.
"""

from __future__ import annotations

import argparse
import importlib
import signal
import sys


def main() -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    parser = argparse.ArgumentParser()
    parser.add_argument("--cut-file", required=True)
    parser.add_argument("--settings", required=True)
    args = parser.parse_args()
    cuts = importlib.import_module("tests.soak.cut_pools")
    cuts.install(args.cut_file)
    sys.argv = [sys.argv[0], "--settings", args.settings]
    starter = importlib.import_module("almondshift.daemons.start_relay")
    code: int = starter.main()
    return code


if __name__ == "__main__":
    sys.exit(main())
