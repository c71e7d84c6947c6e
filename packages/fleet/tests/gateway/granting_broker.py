"""A broker process that grants every request at once.

Prints its port. Exits when its standard input is closed.
"""

import asyncio
import sys

import msgspec
from aiohttp import WSMsgType, web

from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    HEARTBEAT_INTERVAL_SECONDS,
    Heartbeat,
    PlaceGrant,
    PlaceRequest,
    gateway_message_decoder,
)


async def send(socket, *messages):
    await socket.send_str(msgspec.json.encode(list(messages)).decode())


async def send_heartbeats_forever(socket):
    while True:
        await send(socket, Heartbeat())
        await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)


async def serve(request):
    socket = web.WebSocketResponse(compress=False)
    await socket.prepare(request)
    heartbeats = asyncio.create_task(send_heartbeats_forever(socket))
    try:
        async for frame in socket:
            if frame.type is not WSMsgType.TEXT:
                continue
            for request in gateway_message_decoder.decode(frame.data):
                if isinstance(request, PlaceRequest):
                    await send(socket, PlaceGrant(request.number, "e0"))
    finally:
        heartbeats.cancel()
    return socket


async def main():
    app = web.Application()
    app.add_routes([web.get(BROKER_PATH, serve)])
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(site._server.sockets[0].getsockname()[1], flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main())
