"""Failures that entries, agents and gateways return."""

import random

from marjoramyard.kernel.errors import Failure, FailureKind, failure


def quarantined(seconds: float) -> Failure:
    """Returns the refusal of a quarantined request.

    Args:
        seconds: The rest of the quarantine.
    """
    return failure(
        FailureKind.QUARANTINED,
        "endpoints died each time this request, or one with the same prompt "
        "part, ran; change it, or wait for the quarantine to end",
        retry_after=seconds,
    )


def suspect_held() -> Failure:
    """Returns the refusal of a suspect that runs elsewhere, or has to wait."""
    return failure(
        FailureKind.SUSPECT_HELD,
        "this request was running when an endpoint died; it is run again "
        "separately from other such requests",
        retry_after=random.uniform(0.5, 1.5),
    )
