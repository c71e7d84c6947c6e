"""Test model engine with an OpenAI-style chat API, JSON and SSE."""

import asyncio
import secrets
from collections.abc import AsyncIterator
from enum import Enum

import msgspec
from aiohttp import web

from marjoramyard.standin.announced_endpoint import AnnouncedEndpoint
from marjoramyard.standin.raw_responses import (
    ARRIVAL_SECONDS,
    BreakOffError,
    ConnectionEnd,
    Framing,
    RawResponse,
)

_RESPONSE_WORDS = (
    "snow boots fit well when the heel stays down and toes move".split()
)
_BYTES_PER_TOKEN = 4


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str = "user"
    content: str = ""


class CutPlace(Enum):
    """Where in its content a stream breaks off."""

    INSIDE_EVENT = "inside-event"
    BETWEEN_EVENTS = "between-events"


class ChatRequest(msgspec.Struct):
    """The supported fields of a chat request, with fault injection.

    Attributes:
        max_tokens: Number of tokens in the response.
        stall_after: Stops sending after this many tokens; -1 for never.
        cut_after: Ends the connection after this many tokens; -1 for never.
        cut_place: Where in the content of a stream it does so.
        cut_by: How it does so.
        cut_by_crash: Kills the engine process there instead.
        framing: How the response tells its end.
        resumable: Sends event ids and a URL from which the stream can be
            resumed.
        crash: Kills the engine process when it receives the request.
    """

    messages: list[ChatMessage] = []
    model: str = ""
    stream: bool = False
    max_tokens: int = 8
    stall_after: int = -1
    cut_after: int = -1
    cut_place: CutPlace = CutPlace.INSIDE_EVENT
    cut_by: ConnectionEnd = ConnectionEnd.FIN
    cut_by_crash: bool = False
    framing: Framing = Framing.CHUNKS
    resumable: bool = False
    crash: bool = False


class ChatEngine(AnnouncedEndpoint):
    """Runs all requests at once, each slowed down by the others.

    Attributes:
        token_seconds: Seconds per token of a request that runs alone.
        slowdown: Share by which each further request lengthens a token.
        crashing_message: Kills the process when it begins to answer a chat
            with this message before the last one; "" for none.
    """

    def __init__(
        self,
        token_seconds: float,
        slowdown: float,
        crashing_message: str = "",
        **kwargs,
    ):
        super().__init__(**kwargs)
        self.crashing_message = crashing_message
        self.token_seconds = token_seconds
        self.slowdown = slowdown
        self.running = 0
        self.served = 0
        self.cancelled = 0
        self.streams: dict[str, ChatRequest] = {}

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the engine."""
        return [
            web.post("/v1/chat/completions", self.on_chat),
            web.get("/v1/streams/{stream}", self.on_resume),
            *super().routes(),
        ]

    def counters(self) -> dict:
        """Returns the values served at /admin/counters."""
        return {
            **super().counters(),
            "served": self.served,
            "running": self.running,
            "cancelled": self.cancelled,
        }

    async def on_chat(self, request: web.Request) -> web.StreamResponse:
        """Serves a chat completion."""
        raw = await request.read()
        chat = msgspec.json.decode(raw, type=ChatRequest)
        self.record_call(request)
        if chat.crash:
            await self.crash()
        self.running += 1
        try:
            if chat.stream:
                return await self._stream(request, chat, len(raw))
            return await self._complete(chat, len(raw))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _tokens(
        self, chat: ChatRequest, first: int = 0
    ) -> AsyncIterator[str]:
        for index in range(first, chat.max_tokens):
            if index == chat.stall_after:
                await asyncio.Event().wait()
            load = 1.0 + self.slowdown * max(0, self.running - 1)
            await asyncio.sleep(self.token_seconds * load)
            yield _RESPONSE_WORDS[index % len(_RESPONSE_WORDS)]
            if self._crashes_on(chat):
                await asyncio.sleep(ARRIVAL_SECONDS)
                await self.crash()

    def _crashes_on(self, chat: ChatRequest) -> bool:
        return bool(self.crashing_message) and any(
            message.content == self.crashing_message
            for message in chat.messages[:-1]
        )

    @staticmethod
    def _usage(chat: ChatRequest, request_bytes: int) -> dict:
        return {
            "prompt_tokens": request_bytes // _BYTES_PER_TOKEN,
            "completion_tokens": chat.max_tokens,
        }

    async def _complete(
        self, chat: ChatRequest, request_bytes: int
    ) -> web.Response:
        words = [word async for word in self._tokens(chat)]
        self.served += 1
        message = {"role": "assistant", "content": " ".join(words)}
        completion = {
            "id": f"chat-{secrets.token_hex(4)}",
            "object": "chat.completion",
            "model": chat.model,
            "choices": [{"index": 0, "message": message}],
            "usage": self._usage(chat, request_bytes),
        }
        if chat.cut_after < 0 and chat.framing is not Framing.CLOSE:
            return web.json_response(completion)
        body = msgspec.json.encode(completion)
        return RawResponse(
            self._body(chat, body),
            Framing.LENGTH if chat.framing is Framing.CHUNKS else chat.framing,
            chat.cut_by if chat.cut_after >= 0 else ConnectionEnd.FIN,
            length=len(body),
            headers={"Content-Type": "application/json"},
        )

    async def _stream(
        self, request: web.Request, chat: ChatRequest, request_bytes: int
    ) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream"}
        if chat.resumable:
            name = secrets.token_hex(6)
            self.streams[name] = chat
            headers["Content-Location"] = f"/v1/streams/{name}"
        events = self._events(chat, request_bytes)
        return await self._send_events(request, chat, events, headers)

    async def on_resume(self, request: web.Request) -> web.StreamResponse:
        """Resumes a stream after the event named by Last-Event-ID."""
        chat = self.streams.get(request.match_info["stream"])
        if chat is None:
            raise web.HTTPNotFound
        first = int(request.headers.get("Last-Event-ID", "-1")) + 1
        uncut = msgspec.structs.replace(chat, cut_after=-1)
        headers = {"Content-Type": "text/event-stream"}
        events = self._events(uncut, 0, first)
        return await self._send_events(request, uncut, events, headers)

    async def _send_events(
        self,
        request: web.Request,
        chat: ChatRequest,
        events: AsyncIterator[bytes],
        headers: dict[str, str],
    ) -> web.StreamResponse:
        if chat.cut_after >= 0 or chat.framing is Framing.CLOSE:
            end = chat.cut_by if chat.cut_after >= 0 else ConnectionEnd.FIN
            return RawResponse(events, chat.framing, end, headers=headers)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        async for event in events:
            await response.write(event)
        await response.write_eof()
        return response

    async def _events(
        self, chat: ChatRequest, request_bytes: int, first: int = 0
    ) -> AsyncIterator[bytes]:
        index = first
        async for word in self._tokens(chat, first):
            if index == chat.cut_after:
                if chat.cut_place is CutPlace.INSIDE_EVENT:
                    yield b"data: {"
                await self._break_off(chat)
            delta = {"choices": [{"index": 0, "delta": {"content": word}}]}
            if self.version:
                delta["system_fingerprint"] = self.version
            event = b"data: " + msgspec.json.encode(delta) + b"\n\n"
            if chat.resumable:
                event = b"id: %d\n" % index + event
            yield event
            index += 1
        usage = {"choices": [], "usage": self._usage(chat, request_bytes)}
        yield b"data: " + msgspec.json.encode(usage) + b"\n\n"
        yield b"data: [DONE]\n\n"
        self.served += 1

    async def _body(
        self, chat: ChatRequest, body: bytes
    ) -> AsyncIterator[bytes]:
        """Yields a body, or its first half."""
        if chat.cut_after < 0:
            yield body
            return
        yield body[: len(body) // 2]
        await self._break_off(chat)

    async def _break_off(self, chat: ChatRequest) -> None:
        if chat.cut_by_crash:
            await asyncio.sleep(ARRIVAL_SECONDS)
            await self.crash()
        raise BreakOffError
