"""A stand-in for a plain service: stock look-ups, bookings, holds."""

import asyncio
import os

from aiohttp import web

from marjoramyard.standin.announced_endpoint import AnnouncedEndpoint


class BookingService(AnnouncedEndpoint):
    """Counts what it does, so that a test sees anything done twice.

    Attributes:
        journal: A file that gets a line for each booking, before it is
            answered: what was done stays known when the process is killed.
    """

    def __init__(self, call_seconds: float, journal: str = "", **kwargs):
        super().__init__(**kwargs)
        self.call_seconds = call_seconds
        self.journal = journal
        self.bookings: list[str] = []

    def routes(self) -> list[web.RouteDef]:
        """Returns the service."""
        return [
            web.get("/stock/{item}", self.on_stock),
            web.post("/bookings", self.on_booking),
            *super().routes(),
        ]

    def counters(self) -> dict:
        """Returns what tests ask."""
        return {**super().counters(), "bookings": self.bookings}

    async def on_stock(self, request: web.Request) -> web.Response:
        """Looks up stock; may be repeated."""
        self.note_call(request)
        await asyncio.sleep(self.call_seconds)
        return web.json_response(
            {"item": request.match_info["item"], "in_stock": 7}
        )

    async def on_booking(self, request: web.Request) -> web.Response:
        """Books; must land once."""
        await request.read()
        key = request.headers.get("Idempotency-Key", "")
        self.note_call(request)
        self.bookings.append(key)
        self._journal(key)
        await asyncio.sleep(self.call_seconds)
        return web.json_response(
            {"booking": len(self.bookings), "key": key}, status=201
        )

    def _journal(self, key: str) -> None:
        if not self.journal:
            return
        with open(self.journal, "a", encoding="utf-8") as file:
            file.write(key + "\n")
            file.flush()
            os.fsync(file.fileno())
