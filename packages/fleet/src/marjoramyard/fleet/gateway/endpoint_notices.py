"""What endpoints say of themselves in their responses."""

import math

import aiohttp

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

HTTP_UNAVAILABLE = 503


class EndpointNotices:
    """Records what endpoints say, and tells their brokers.

    Attributes:
        leaving_header: The header of endpoints that are leaving.
    """

    def __init__(
        self, view: FleetView, brokers: BrokerClients, leaving_header: str
    ):
        self.view = view
        self.brokers = brokers
        self.leaving_header = leaving_header

    def read(
        self, endpoint: Registration, response: aiohttp.ClientResponse
    ) -> None:
        """Reads the head of a response.

        Args:
            endpoint: The endpoint, as registered when the request was sent.
            response: Its response.
        """
        seconds = requested_pause(response)
        if seconds and self.view.record_pause(endpoint, seconds):
            self.brokers.on_pause(endpoint, seconds)
        if response.headers.get(self.leaving_header) == "1":
            if self.view.record_leaving(endpoint.endpoint, endpoint.born):
                self.brokers.on_leaving(endpoint)


def requested_pause(response: aiohttp.ClientResponse) -> float:
    """Returns for how many seconds the endpoint wants no requests, or 0."""
    if response.status != HTTP_UNAVAILABLE:
        return 0.0
    return parse_retry_after(response.headers.get("Retry-After", ""))


def parse_retry_after(text: str) -> float:
    """Decodes `Retry-After` in seconds; returns 0 if it is invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < math.inf else 0.0
