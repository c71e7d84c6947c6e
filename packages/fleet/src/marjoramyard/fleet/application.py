"""The application object: wires settings, metrics, events and a role."""

import asyncio
import importlib
import os
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    nullcontext,
)
from pathlib import Path
from typing import Protocol

from aiohttp import web
from result import Err

from marjoramyard.fleet.util import rpc
from marjoramyard.fleet.util.tasks import TaskGroup, task_group
from marjoramyard.kernel.ids import new_incarnation
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.settings import RoleSettings, load_settings
from marjoramyard.kernel.util.addresses import parse_address

logger = get_logger(__name__)

EXTENSIONS = {
    "control": "marjoramyard.fleet.control.role",
    "entry": "marjoramyard.fleet.entry.role",
    "agent": "marjoramyard.fleet.agent.role",
    "gateway": "marjoramyard.fleet.gateway.role",
}
"""Only the role's own module is imported: memory counts on small hosts."""


_SHUTDOWN_SECONDS = 0.3
"""How long handlers may take to notice that they are cancelled."""
_KEEPALIVE_SECONDS = 75.0
_BACKLOG = 512
"""As long as most balancers keep idle connections, and a little longer."""
_WATCH_SECONDS = 2.0
"""One `stat` each time; a change matters within seconds at the soonest."""


def _modified_at(source: Path | None) -> int:
    """Returns when a file was last written, 0 if that can't be told."""
    try:
        return source.stat().st_mtime_ns if source is not None else 0
    except OSError:
        # The file is being replaced, or gone: what was read stays.
        return 0


class Role(Protocol):
    """What a running role offers the application."""

    def is_ready(self) -> bool:
        """Returns whether the balancer may send it work."""

    async def drain(self) -> None:
        """Takes no new work and returns when what runs has ended."""


RoleFactory = Callable[["Application"], AbstractAsyncContextManager[Role]]


def _waits_for_request(connection: web.RequestHandler) -> bool:
    """Whether nothing has come on a connection since its last answer.

    A handler starts two turns of the loop after its request was read, and
    its answer may still be on its way out when it has returned. Closed in
    between, a whole request would get no answer at all. The library tells
    this state only in a private attribute.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()


ProtocolWrapper = Callable[
    [asyncio.Protocol, Callable[[], bool]], asyncio.Protocol
]
"""Makes the protocol that stands before the library's, given that one and
whether it waits for a request."""


class WrappedSite(web.TCPSite):
    """A site whose connections pass a protocol of ours first."""

    def __init__(self, *args, wrapper: ProtocolWrapper, **options):
        super().__init__(*args, **options)
        self.wrapper = wrapper

    async def start(self) -> None:
        """Begins to listen."""
        await web.BaseSite.start(self)
        self._server = await asyncio.get_running_loop().create_server(
            self._connect,
            self._host,
            self._port,
            backlog=self._backlog,
            reuse_address=self._reuse_address,
        )

    def _connect(self) -> asyncio.Protocol:
        behind = self._runner.server()
        return self.wrapper(behind, lambda: _waits_for_request(behind))


class Listener:
    """An address that is served."""

    def __init__(self, runner: web.AppRunner, site: web.TCPSite):
        self.runner = runner
        self.site = site

    @property
    def open_connections(self) -> int:
        """How many connections there are."""
        return len(self.runner.server.connections)

    def close_idle(
        self, busy: Collection[web.RequestHandler], most: int | None = None
    ) -> int:
        """Closes connections on which nothing is being answered.

        New connections are still taken. The library's own `pre_shutdown`
        is no use here: it ends the task that reads a connection and leaves
        the connection open, so a request that comes on it meets silence.

        Args:
            busy: The connections that are left as they are.
            most: How many to close, the oldest first; None for all.

        Returns:
            How many were closed.
        """
        idle = [
            connection
            for connection in self.runner.server.connections
            if connection not in busy and _waits_for_request(connection)
        ]
        for connection in idle[:most]:
            connection.force_close()
        return len(idle[:most])


class Application:
    """One process of the fleet."""

    def __init__(self, settings: RoleSettings, source: Path | None = None):
        self.settings = settings
        self.source = source
        self.source_read_at = _modified_at(source)
        self.incarnation = new_incarnation(settings.name)
        self.metrics = Metrics(settings.role, settings.name)
        self.roles: Registry[RoleFactory] = Registry("role")
        self.secret = ""
        if settings.secret_file:
            self.secret = rpc.read_secret(settings.secret_file)
        self.stopping = asyncio.Event()
        self.role: Role | None = None
        self.tasks: TaskGroup
        self.client: rpc.InternalClient

    def load_extension(self, module: str) -> None:
        """Imports an extension and lets it register what it offers."""
        importlib.import_module(module).setup(self)

    def add_role(self, name: str, factory: RoleFactory) -> None:
        """Registers a role; extensions call it."""
        self.roles.register(name)(factory)

    @asynccontextmanager
    async def serve(
        self,
        address: str,
        routes: list[web.RouteDef],
        internal: bool = True,
        health: bool = True,
        max_body: int = rpc.MAX_INTERNAL_BODY,
        max_header: int = rpc.MAX_HEAD_BYTES,
        keepalive: float = _KEEPALIVE_SECONDS,
        wrapper: ProtocolWrapper | None = None,
    ) -> AsyncIterator["Listener"]:
        """Serves routes on an address.

        Args:
            address: IP:PORT.
            routes: What is served.
            internal: Only to who has the fleet's secret, if there is one.
            health: With health and metrics pages beside the routes.
            max_body: The largest body in bytes.
            max_header: The largest header line in bytes.
            keepalive: Seconds after which an idle connection is closed.
            wrapper: Makes what sees the bytes of a connection first.
        """
        middlewares = [rpc.render_failures]
        if internal and self.secret:
            middlewares.append(rpc.authentication(self.secret))
        site_app = web.Application(
            middlewares=middlewares,
            client_max_size=max_body,
            handler_args={
                "max_line_size": max_header,
                "max_field_size": max_header,
                "auto_decompress": False,
                "keepalive_timeout": keepalive,
            },
        )
        if health:
            site_app.add_routes(self._health_routes())
        site_app.add_routes(routes)
        runner = web.AppRunner(
            site_app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_SECONDS,
        )
        await runner.setup()
        host, port = parse_address(address)
        options = {"reuse_address": True, "backlog": _BACKLOG}
        if wrapper is None:
            site = web.TCPSite(runner, host, port, **options)
        else:
            site = WrappedSite(runner, host, port, wrapper=wrapper, **options)
        await site.start()
        try:
            yield Listener(runner, site)
        finally:
            await runner.cleanup()

    def _health_routes(self) -> list[web.RouteDef]:
        return [
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
            web.get("/metrics", self._metrics_page),
        ]

    async def _healthz(self, _: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readyz(self, _: web.Request) -> web.Response:
        ready = self.role is not None and self.role.is_ready()
        if ready and not self.stopping.is_set():
            return web.Response(text="ready\n")
        return web.Response(text="not ready\n", status=503)

    async def _metrics_page(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.prometheus_text(), content_type="text/plain"
        )

    def _serve_metrics(self) -> AbstractAsyncContextManager:
        """Serves the metrics page on its own address too, if it has one."""
        address = getattr(self.settings, "metrics_listen", "")
        if not address:
            return nullcontext()
        return self.serve(address, [], internal=False)

    def _watch_traffic(self) -> None:
        client = self.client

        def traffic() -> list[tuple[float, dict[str, str]]]:
            return [
                (client.bytes_sent, {"direction": "sent"}),
                (client.bytes_received, {"direction": "received"}),
            ]

        self.metrics.gauge("control_bytes", traffic)

    def reload(self) -> None:
        """Takes in the settings that may change while the process runs."""
        if self.source is None:
            return
        self.source_read_at = _modified_at(self.source)
        loaded = load_settings(self.source)
        if isinstance(loaded, Err):
            logger.error("settings_refused", why=loaded.err_value)
            return
        changed = self.settings.apply_changes(loaded.ok_value)
        logger.info("settings_reloaded", changed=changed)

    async def _watch_settings(self) -> None:
        """Notices a settings file that changes without a signal."""
        while True:
            await asyncio.sleep(_WATCH_SECONDS)
            if _modified_at(self.source) != self.source_read_at:
                self.reload()

    async def run(self) -> None:
        """Runs the role until a signal, then drains it."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.load_extension(EXTENSIONS[self.settings.role])
        for module in self.settings.extensions:
            self.load_extension(module)
        factory = self.roles.get(self.settings.role)
        async with task_group() as self.tasks:
            self.client = rpc.InternalClient(self.secret, self.metrics)
            self._watch_traffic()
            if self.source is not None:
                self.tasks.spawn(self._watch_settings())
            try:
                async with self._serve_metrics(), factory(self) as self.role:
                    logger.info("started", pid=os.getpid())
                    await self.stopping.wait()
                    logger.info("draining")
                    await self._drain(self.role.drain())
            finally:
                await self.client.close()
        logger.info("stopped")

    async def _drain(self, work: Awaitable[None]) -> None:
        try:
            async with asyncio.timeout(self.settings.drain_seconds):
                await work
        except TimeoutError:
            logger.warning("drain_timed_out")
