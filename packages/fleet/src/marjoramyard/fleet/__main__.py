"""Runs the `marjoramyard` command as `python3 -m marjoramyard.fleet`."""

import signal

# A reload that is asked for while the process starts must not end it. The
# imports take most of that time.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from marjoramyard.kernel.standard_streams import (  # noqa: E402
    open_closed_streams,
)

open_closed_streams()

from marjoramyard.fleet.cmd.daemon import main  # noqa: E402

if __name__ == "__main__":
    main()
