"""Standard input, output and error of a daemon."""

import os

_STANDARD_DESCRIPTORS = (0, 1, 2)


def open_closed_streams() -> None:
    """Opens the null device in place of closed standard streams.

    Their descriptors would be given to the next sockets or files that are
    opened, and what is meant for the stream would be written to these.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            _open_null_device(descriptor)


def _open_null_device(descriptor: int) -> None:
    opened = os.open(os.devnull, os.O_RDWR)
    if opened != descriptor:
        os.dup2(opened, descriptor, inheritable=False)
        os.close(opened)
