"""A relay node whose connections to endpoints can be cut.

Through a file, or since they lead over links of its own.

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
    parser.add_argument("--cut-file")
    parser.add_argument("--node", type=int, help="index; has links of its own")
    parser.add_argument("--settings", required=True)
    args = parser.parse_args()
    if args.cut_file is not None:
        importlib.import_module("tests.soak.cut_pools").install(args.cut_file)
    if args.node is not None:
        importlib.import_module("tests.soak.view_pools").install(args.node)
    sys.argv = [sys.argv[0], "--settings", args.settings]
    starter = importlib.import_module("almondshift.daemons.start_relay")
    code: int = starter.main()
    return code


if __name__ == "__main__":
    sys.exit(main())
