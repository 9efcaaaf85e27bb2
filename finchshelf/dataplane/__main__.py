"""`python -m finchshelf.dataplane`: starts a data plane.

Owns what must be so before the program's libraries are loaded. It must never import any of them itself: that
takes tenths of a second, in which a signal would end the process.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    # Danger: SIGHUP says that the settings have changed, and ends whoever does not listen for it yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from finchshelf.dataplane import process

    return process.main()


if __name__ == "__main__":
    sys.exit(main())
