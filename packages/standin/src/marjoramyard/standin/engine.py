"""Test model engine with an OpenAI-style chat API, JSON and SSE."""

import asyncio
import secrets
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from marjoramyard.standin.announced_endpoint import AnnouncedEndpoint

_RESPONSE_WORDS = (
    "snow boots fit well when the heel stays down and toes move".split()
)
_BYTES_PER_TOKEN = 4


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str = "user"
    content: str = ""


class ChatRequest(msgspec.Struct):
    """The supported fields of a chat request, with fault injection.

    Attributes:
        max_tokens: Number of tokens in the response.
        stall_after: Stops sending after this many tokens; -1 for never.
        cut_after: Closes the connection after this many tokens; -1 for never.
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
    resumable: bool = False
    crash: bool = False


class ChatEngine(AnnouncedEndpoint):
    """Runs all requests at once, each slowed down by the others.

    Attributes:
        token_seconds: Seconds per token of a request that runs alone.
        slowdown: Share by which each further request lengthens a token.
    """

    def __init__(self, token_seconds: float, slowdown: float, **kwargs):
        super().__init__(**kwargs)
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
        if chat.cut_after >= 0:
            return TruncatedResponse()
        message = {"role": "assistant", "content": " ".join(words)}
        return web.json_response(
            {
                "id": f"chat-{secrets.token_hex(4)}",
                "object": "chat.completion",
                "model": chat.model,
                "choices": [{"index": 0, "message": message}],
                "usage": self._usage(chat, request_bytes),
            }
        )

    async def _stream(
        self, request: web.Request, chat: ChatRequest, request_bytes: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        if chat.resumable:
            name = secrets.token_hex(6)
            self.streams[name] = chat
            response.headers["Content-Location"] = f"/v1/streams/{name}"
        return await self._write_events(
            request, response, chat, request_bytes, 0
        )

    async def on_resume(self, request: web.Request) -> web.StreamResponse:
        """Resumes a stream after the event named by Last-Event-ID."""
        chat = self.streams.get(request.match_info["stream"])
        if chat is None:
            raise web.HTTPNotFound
        first = int(request.headers.get("Last-Event-ID", "-1")) + 1
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        uncut = msgspec.structs.replace(chat, cut_after=-1)
        return await self._write_events(request, response, uncut, 0, first)

    async def _write_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        chat: ChatRequest,
        request_bytes: int,
        first: int,
    ) -> web.StreamResponse:
        await response.prepare(request)
        index = first
        async for word in self._tokens(chat, first):
            if index == chat.cut_after:
                # Cuts within an event, not between two.
                await response.write(b"data: {")
                await asyncio.sleep(0.01)
                request.transport.close()
                return response
            delta = {"choices": [{"index": 0, "delta": {"content": word}}]}
            event = b"data: " + msgspec.json.encode(delta) + b"\n\n"
            if chat.resumable:
                event = b"id: %d\n" % index + event
            await response.write(event)
            index += 1
        usage = {"choices": [], "usage": self._usage(chat, request_bytes)}
        await response.write(b"data: " + msgspec.json.encode(usage) + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        self.served += 1
        return response


class TruncatedResponse(web.Response):
    """A response that ends before its Content-Length is reached."""

    async def prepare(self, request: web.BaseRequest) -> None:
        """Sends part of the body and closes the connection."""
        request.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b'Content-Length: 100\r\n\r\n{"choices":['
        )
        request.transport.close()

    async def write_eof(self, data: bytes = b"") -> None:
        """Sends nothing, as the connection is closed."""
