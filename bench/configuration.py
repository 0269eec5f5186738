"""Measures the time to parse a configuration, by number of accounts.

Run as ``python -m bench.configuration``. Prints the median time of several
parses in milliseconds for each number of client accounts.
"""

from __future__ import annotations

import importlib.resources
import statistics
import time

from almondshift.adapters import fleet_text

ACCOUNTS = (10, 400, 1700)
REPEATS = 9


def create_text(accounts: int) -> str:
    """Returns the sample configuration with additional accounts."""
    sample = importlib.resources.files("almondshift.data") / "sample.ini"
    return sample.read_text() + "\n".join(
        f"[account client-{i}]\nkey_hash = sha256:{i:064x}\nweight = 2\n"
        "tokens_per_s = 500\nservices = advice, drafts, portal\n"
        for i in range(accounts)
    )


def measure(text: str) -> float:
    """Returns the median time of a parse in seconds."""
    seconds = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        parsed = fleet_text.parse(text, 1)
        seconds.append(time.perf_counter() - start)
        assert parsed.is_ok()
    return statistics.median(seconds)


def main() -> None:
    """Prints the figures."""
    for accounts in ACCOUNTS:
        text = create_text(accounts)
        milliseconds = measure(text) * 1e3
        print(f"{accounts} accounts, {len(text)} bytes: {milliseconds:.1f} ms")


if __name__ == "__main__":
    main()
