"""The limit on the file descriptors of this process."""

import contextlib
import resource


def raise_descriptor_limit() -> None:
    """Raises the soft limit, often 1024 for old programs, to the hard one."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def usable_descriptors(wanted: int) -> int:
    """Returns how many of the wanted descriptors the process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return wanted
    return min(wanted, soft)
