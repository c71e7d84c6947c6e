"""Failures that both entries and agents return."""

from marjoramyard.kernel.errors import Failure, FailureKind, failure


def quarantined(seconds: float) -> Failure:
    """Returns the refusal of a quarantined request.

    Args:
        seconds: The rest of the quarantine.
    """
    return failure(
        FailureKind.QUARANTINED,
        "endpoints died each time this request ran; change it, or wait for "
        "the quarantine to end",
        retry_after=seconds,
    )
