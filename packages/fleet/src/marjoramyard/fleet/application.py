"""The application object of a daemon process: settings, metrics and role."""

import asyncio
import importlib
import math
import os
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path
from typing import Protocol

from aiohttp import web
from result import Err

from marjoramyard.fleet.listener import (
    Listener,
    ListenerSite,
    ProtocolWrapper,
)
from marjoramyard.fleet.util import rpc
from marjoramyard.fleet.util.allocator import return_freed_memory
from marjoramyard.fleet.util.binding import BindRetries
from marjoramyard.fleet.util.expectations import with_expectations
from marjoramyard.fleet.util.held_bytes import OWN_BYTES, HeldBytes, limit_for
from marjoramyard.fleet.util.separable import refused_entries
from marjoramyard.fleet.util.tasks import TaskGroup, task_group
from marjoramyard.kernel.ids import new_incarnation
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.settings import RoleSettings, load_settings
from marjoramyard.kernel.util.addresses import parse_address

logger = get_logger(__name__)

ROLE_MODULES = {
    "control": "marjoramyard.fleet.control.role",
    "entry": "marjoramyard.fleet.entry.role",
    "agent": "marjoramyard.fleet.agent.role",
    "gateway": "marjoramyard.fleet.gateway.role",
}
"""The module of each role. Only the one in use is imported, to save memory."""


_STOPPING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
_SHUTDOWN_SECONDS = 0.1
"""aiohttp's limit for handlers. None is left when it applies."""
_DRAIN_SLACK_SECONDS = 0.1
"""For roles that end draining in time by themselves."""
_INTERNAL_SECONDS = 0.3
"""How long internal calls in progress may take to end."""
_CLOSE_SECONDS = 10.0
"""How long other requests may take that the role has not waited for."""
EXIT_MARGIN_SECONDS = 1.0
"""Part of the time to stop that is kept for ending what is left and for the
exit of the process."""
_KEEPALIVE_SECONDS = 75.0
"""Longer than most load balancers keep idle connections."""
_BACKLOG = 512
_FLEET_OWNER = "(fleet)"
"""For whom calls of other processes are held, apart from those from outside."""
READ_BUFFER_BYTES = 1 << 15
"""What may arrive of a body before its handler reads; twice as much at most."""
_EXPORTER_DELAY_SECONDS = 10.0
_METRICS_RETRY_SECONDS = 1.0
"""The interval at which a held address for metrics is bound again."""
_RELOAD_SECONDS = 0.1
"""A file that is written in parts is mostly complete by then."""
_SETTINGS_CHECK_SECONDS = 2.0
"""The interval at which the settings file is checked for changes."""


def modified_ns(path: Path | None) -> int:
    """Returns a file's modification time in nanoseconds, 0 if unknown."""
    try:
        return path.stat().st_mtime_ns if path is not None else 0
    except OSError:
        # The file is missing, possibly while it is being replaced.
        return 0


class Role(Protocol):
    """The interface of a running role."""

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send it requests."""

    async def drain(self) -> None:
        """Stops accepting work and waits for running work to finish."""


RoleFactory = Callable[["Application"], AbstractAsyncContextManager[Role]]


class Application:
    """One daemon process.

    Attributes:
        settings_path: The settings file; None if the settings can't be
            reloaded.
        settings_modified_ns: The file's modification time when it was read.
        incarnation: The unique id of this process.
        secret: The fleet's shared secret; "" if internal calls are not
            authenticated.
        stopping: Set when the process is to stop.
        stopped_at: When it was told to, on the monotonic clock in seconds;
            None before.
        signalled_before: Returns the earliest time at which a signal that is
            handled now may have come: the loop may have been late since then.
        held_bytes: The account of what the process holds for others.
        reloading: The reload that is due; None if there is none.
        role: The running role; None before it has started.
        tasks: Background tasks; they are cancelled at the end.
        client: The client for calls to other processes.
    """

    def __init__(
        self, settings: RoleSettings, settings_path: Path | None = None
    ):
        self.settings = settings
        self.settings_path = settings_path
        self.settings_modified_ns = modified_ns(settings_path)
        self.incarnation = new_incarnation(settings.name)
        self.metrics = Metrics(settings.role, settings.name)
        self.metrics.gauge("entries_refused", self._count_refused_entries)
        self.held_bytes = HeldBytes(
            limit_for(settings.memory_mb, OWN_BYTES + settings.stored_bytes),
            self.metrics,
        )
        self.roles: Registry[RoleFactory] = Registry("role")
        self.secret = ""
        if settings.secret_file:
            self.secret = rpc.read_secret(settings.secret_file)
        self.stopping = asyncio.Event()
        self.stopped_at: float | None = None
        self.signalled_before: Callable[[], float] = time.monotonic
        self.reloading: asyncio.TimerHandle | None = None
        self.role: Role | None = None
        self.tasks: TaskGroup
        self.client: rpc.InternalClient

    def stop(self) -> None:
        """Makes the process stop; called again, it has no effect."""
        if self.stopped_at is None:
            self.stopped_at = min(time.monotonic(), self.signalled_before())
        self.stopping.set()

    @property
    def ends_at(self) -> float:
        """When requests in progress are ended, on the monotonic clock."""
        seconds = self.settings.stop_seconds - EXIT_MARGIN_SECONDS
        return self.stopped_at + max(0.0, seconds)

    def stopping_seconds(self) -> float | None:
        """Returns the seconds since the process was told to stop, if it was."""
        if self.stopped_at is None:
            return None
        return time.monotonic() - self.stopped_at

    def load_extension(self, module: str) -> None:
        """Imports an extension module and calls its `setup`."""
        importlib.import_module(module).setup(self)

    def add_role(self, name: str, factory: RoleFactory) -> None:
        """Registers a role under its name; called by extensions."""
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
        retries: BindRetries | None = None,
        answers_half_closed: bool = False,
    ) -> AsyncIterator["Listener"]:
        """Serves routes on an address.

        Args:
            address: IP:PORT.
            routes: The routes.
            internal: Requires the fleet's secret, if there is one.
            health: Adds the health and metrics pages.
            max_body: The largest body in bytes.
            max_header: The largest header line in bytes.
            keepalive: Seconds after which an idle connection is closed.
            wrapper: Wraps the protocol of each connection.
            retries: How an address that is held is retried.
            answers_half_closed: Answers clients that close their sending side
                after a request; else they count as having left.

        Raises:
            OSError: The address can't be bound.
        """
        listener = Listener(
            address,
            self.metrics,
            self.stopping_seconds,
            answers_half_closed,
            self.held_bytes,
            _FLEET_OWNER if internal else "",
        )
        middlewares = [listener.track_request, rpc.render_failures]
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
                "read_bufsize": READ_BUFFER_BYTES,
            },
        )
        if health:
            site_app.add_routes(map(with_expectations, self._health_routes()))
        site_app.add_routes(map(with_expectations, routes))
        site_app.on_response_prepare.append(listener.prepare_response)
        runner = web.AppRunner(
            site_app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_SECONDS,
        )
        await runner.setup()
        host, port = parse_address(address)
        site = ListenerSite(
            runner,
            listener,
            host,
            port,
            wrapper,
            retries or BindRetries(self.metrics, self.stopping),
            reuse_address=True,
            backlog=_BACKLOG,
        )
        await site.start()
        try:
            yield listener
        finally:
            await listener.close(site, self._close_until(internal))
            await runner.cleanup()

    def _close_until(self, internal: bool) -> float:
        """Returns until when requests in progress are waited for.

        Internal calls are mostly polls that wait for a change; their clients
        repeat them at another process.
        """
        now = time.monotonic()
        if self.stopped_at is None:
            return now
        seconds = _INTERNAL_SECONDS if internal else _CLOSE_SECONDS
        return min(self.ends_at, now + seconds)

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
        await self.metrics.load_exporter_in_background()
        return web.Response(
            body=self.metrics.prometheus_text(), content_type="text/plain"
        )

    @asynccontextmanager
    async def _metrics_served(self) -> AsyncIterator[None]:
        """Also serves the metrics page on `metrics_listen`, if it is set.

        That it can't be bound holds nothing up.
        """
        address = getattr(self.settings, "metrics_listen", "")
        if not address:
            yield
            return
        ended = asyncio.Event()
        task = self.tasks.spawn(self._serve_metrics(address, ended))
        try:
            yield
        finally:
            ended.set()
            await asyncio.wait([task])

    async def _serve_metrics(self, address: str, ended: asyncio.Event) -> None:
        retries = BindRetries(
            self.metrics, ended, math.inf, _METRICS_RETRY_SECONDS
        )
        try:
            async with self.serve(address, [], internal=False, retries=retries):
                await ended.wait()
        except OSError as error:
            logger.warning(
                "metrics_not_served", address=address, error=str(error)
            )

    def _register_traffic_metrics(self) -> None:
        client = self.client

        def traffic_bytes() -> list[tuple[float, dict[str, str]]]:
            return [
                (client.bytes_sent, {"direction": "sent"}),
                (client.bytes_received, {"direction": "received"}),
            ]

        self.metrics.gauge("control_bytes", traffic_bytes)

    def reload_soon(self) -> None:
        """Reloads the settings shortly, once for a series of calls."""
        if self.reloading is None:
            loop = asyncio.get_running_loop()
            self.reloading = loop.call_later(
                _RELOAD_SECONDS, self.reload_settings
            )

    def reload_settings(self) -> None:
        """Reloads the settings file and applies the changeable settings.

        An invalid file is logged and ignored.
        """
        self.reloading = None
        if self.settings_path is None:
            return
        self.settings_modified_ns = modified_ns(self.settings_path)
        loaded = load_settings(self.settings_path)
        if isinstance(loaded, Err):
            logger.error("settings_refused", why=loaded.err_value)
            return
        changed = self.settings.apply_changes(loaded.ok_value)
        logger.info("settings_reloaded", changed=changed)

    async def _watch_settings(self) -> None:
        """Reloads the settings when their file changes, until cancelled."""
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_SECONDS)
            if modified_ns(self.settings_path) != self.settings_modified_ns:
                self.reload_settings()

    async def _load_metrics_exporter(self) -> None:
        """Loads the exporter when the process has long been listening.

        Without scrapes, the values of histograms would collect in memory.
        """
        await asyncio.sleep(_EXPORTER_DELAY_SECONDS)
        await self.metrics.load_exporter_in_background()

    def _count_refused_entries(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (count, {"message": message})
            for message, count in refused_entries.items()
        ]

    async def run(self) -> None:
        """Runs the role until SIGTERM, SIGINT or SIGQUIT, then drains it."""
        return_freed_memory()
        loop = asyncio.get_running_loop()
        for signal_number in _STOPPING_SIGNALS:
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload_soon)
        self.load_extension(ROLE_MODULES[self.settings.role])
        for module in self.settings.extensions:
            self.load_extension(module)
        factory = self.roles.get(self.settings.role)
        async with task_group() as self.tasks:
            self.client = rpc.InternalClient(
                self.secret, self.metrics, self.held_bytes
            )
            self._register_traffic_metrics()
            self.tasks.spawn(self._load_metrics_exporter())
            if self.settings_path is not None:
                self.tasks.spawn_forever(self._watch_settings)
            try:
                async with self._metrics_served(), factory(self) as self.role:
                    logger.info("started", pid=os.getpid())
                    await self.stopping.wait()
                    logger.info("draining")
                    await self._drain(self.role.drain())
            finally:
                await self.client.close()
        logger.info("stopped")

    async def _drain(self, work: Awaitable[None]) -> None:
        seconds = max(0.0, self.ends_at - time.monotonic())
        try:
            async with asyncio.timeout(seconds + _DRAIN_SLACK_SECONDS):
                await work
        except TimeoutError:
            logger.warning("drain_timed_out")
