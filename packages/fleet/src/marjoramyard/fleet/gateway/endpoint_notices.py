"""What endpoints say of themselves in their responses."""

import aiohttp

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.pause_requests import requested_pause


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
        seconds = requested_pause(response.status, response.headers)
        if seconds and self.view.record_pause(endpoint, seconds):
            self.brokers.on_pause(endpoint, seconds)
        if response.headers.get(self.leaving_header) == "1":
            if self.view.record_leaving(endpoint.endpoint, endpoint.born):
                self.brokers.on_leaving(endpoint)
