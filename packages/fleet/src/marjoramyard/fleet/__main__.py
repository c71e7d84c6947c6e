"""Runs the `marjoramyard` command; also a script, which starts earlier."""

# The module `signal` imports others, and until they are there each signal has
# its default action.
import _signal
import posix
import sys

# Signals that operators and their tools send to daemons, and that would end or
# stop the process: a reload while it is starting, requests of log rotation, the
# use of a terminal in the background, and a terminal that suspends its group.
IGNORED = (
    _signal.SIGHUP,
    _signal.SIGUSR1,
    _signal.SIGUSR2,
    _signal.SIGTTIN,
    _signal.SIGTTOU,
    _signal.SIGTSTP,
)
STOPPING = (_signal.SIGTERM, _signal.SIGINT, _signal.SIGQUIT)


def end(*_) -> None:
    """Ends a process that has accepted nothing yet."""
    posix._exit(0)


were_ignored = [
    number
    for number in IGNORED + STOPPING
    if _signal.getsignal(number) == _signal.SIG_IGN
]
for ignored in IGNORED:
    _signal.signal(ignored, _signal.SIG_IGN)
# Until the event loop handles them these end the process: neither lost, if
# whoever started it ignored them, nor with a traceback.
on_stop = end if sys.argv[1:2] == ["run"] else _signal.SIG_DFL
for stopping in STOPPING:
    _signal.signal(stopping, on_stop)
# Signals that were blocked when this process was started stay blocked over
# `exec`, and would never be heard.
were_blocked = _signal.pthread_sigmask(_signal.SIG_UNBLOCK, IGNORED + STOPPING)

if __spec__ is None:
    # The script's libraries are beside its package, whatever the host's
    # variables name.
    sys.path.insert(0, __file__.rpartition("/marjoramyard/")[0])

from marjoramyard.kernel.standard_streams import (  # noqa: E402
    open_closed_streams,
)

open_closed_streams()

from marjoramyard.fleet.cmd import daemon  # noqa: E402
from marjoramyard.fleet.cmd.inherited_signals import (  # noqa: E402
    InheritedSignals,
)


def main() -> None:
    """Runs the command with the signals that it was started with."""
    daemon.main(obj=InheritedSignals(were_blocked, were_ignored))


if __name__ == "__main__":
    main()
