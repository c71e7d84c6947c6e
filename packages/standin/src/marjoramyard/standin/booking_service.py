"""Test back end for non-engine services: stock look-ups and bookings."""

import asyncio
import os

from aiohttp import web

from marjoramyard.standin.announced_endpoint import AnnouncedEndpoint


class BookingService(AnnouncedEndpoint):
    """Records each booking, so that tests can detect duplicates.

    Attributes:
        journal: Path of a file to which the key of each booking is appended
            and synced before the response, so that bookings are known after
            a crash; "" for none.
    """

    def __init__(self, call_seconds: float, journal: str = "", **kwargs):
        super().__init__(**kwargs)
        self.call_seconds = call_seconds
        self.journal = journal
        self.bookings: list[str] = []

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the service."""
        return [
            web.get("/stock/{item}", self.on_stock),
            web.post("/bookings", self.on_booking),
            *super().routes(),
        ]

    def counters(self) -> dict:
        """Returns the values served at /admin/counters."""
        return {**super().counters(), "bookings": self.bookings}

    async def on_stock(self, request: web.Request) -> web.Response:
        """Looks up stock (idempotent)."""
        self.record_call(request)
        await asyncio.sleep(self.call_seconds)
        return web.json_response(
            {"item": request.match_info["item"], "in_stock": 7}
        )

    async def on_booking(self, request: web.Request) -> web.Response:
        """Creates a booking (not idempotent)."""
        await request.read()
        key = request.headers.get("Idempotency-Key", "")
        self.record_call(request)
        self.bookings.append(key)
        self._append_to_journal(key)
        await asyncio.sleep(self.call_seconds)
        return web.json_response(
            {"booking": len(self.bookings), "key": key}, status=201
        )

    def _append_to_journal(self, key: str) -> None:
        if not self.journal:
            return
        with open(self.journal, "a", encoding="utf-8") as file:
            file.write(key + "\n")
            file.flush()
            os.fsync(file.fileno())
