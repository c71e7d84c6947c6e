"""Small stand-ins for engines, clients and operators, as threads.

They do what a sound server, client or operator does by `PROTOCOL.md`.
"""

import http.server
import itertools
import json
import socketserver
import threading
import time

from harness import CaseError, Fleet, Machine, Record, call

HOST_NAME = "shop.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
HEARTBEAT_SECONDS = 1.2


def route(name: str, service: str, kind: str, **fields) -> dict:
    """Returns a route of a config, with the names of `deploy/wire.toml`."""
    return {
        "name": name,
        "hostname": HOST_NAME,
        "path_prefix": f"/{name}/",
        "request_kind": kind,
        "timeout_ms": 3000,
        "objective_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "open_access": False,
    } | fields


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Returns a config of plain services with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 220,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "workspaces": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Operator:
    """Sends configs and reads them, at one control program after the other."""

    def __init__(self, fleet: Fleet, machines: list[Machine], record: Record):
        self.fleet = fleet
        self.machines = machines
        self.record = record

    def put(self, document: dict, seconds: float) -> bool:
        """Sends a config until it is acknowledged; returns whether it was."""
        body = json.dumps(document).encode()
        until = time.monotonic() + seconds
        for machine in itertools.cycle(self.machines):
            if time.monotonic() >= until:
                break
            status, answer, _ = call(
                self.fleet.control(machine),
                "PUT",
                "/v1/config",
                body,
                {"Content-Type": "application/json"},
            )
            if status == 200:
                self.record.write(
                    f"operator: config {document['version']} acknowledged by "
                    f"{machine.name}"
                )
                return True
            time.sleep(0.2)
        self.record.write(
            f"operator: config {document['version']} not acknowledged in "
            f"{seconds:g} s; last: {machine.name} {status} {answer[:120]!r}"
        )
        return False

    def read(self, machine: Machine) -> tuple[int, int]:
        """Reads the config once; returns status and version (0 for none)."""
        status, answer, _ = call(
            self.fleet.control(machine), "GET", "/v1/config"
        )
        version = json.loads(answer)["version"] if status == 200 else 0
        return status, version


class Engine:
    """A plain engine, whose answers a case may set.

    Attributes:
        respond: Called with the handler of a request and its body; None for a
            signed answer with a short body.
        runs: The requests that were run: the id, the time and the headers.
    """

    def __init__(
        self,
        fleet: Fleet,
        controls: list[Machine],
        name: str,
        service: str,
        address: tuple[str, int],
        zone: str = "zone-a",
    ):
        self.fleet = fleet
        self.controls = controls
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.numbers = itertools.count(1)
        self.state = "ready"
        self.is_leaving = False
        self.runs: list[tuple[str, float, dict]] = []
        self.respond = None
        self.stopped = threading.Event()
        self.server = _Server(address, self)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat_forever, daemon=True).start()

    def heartbeat(self) -> bytes:
        """Returns the body of the next ping."""
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": next(self.numbers),
                "born": self.born,
            }
        ).encode()

    def beat(self) -> Machine | None:
        """Sends a ping; returns the control program that acknowledged it."""
        body = self.heartbeat()
        for machine in self.controls:
            status, _, _ = call(
                self.fleet.control(machine),
                "PUT",
                f"/v1/endpoints/{self.name}",
                body,
                {"Content-Type": "application/json"},
            )
            if status == 200:
                return machine
        return None

    def _beat_forever(self) -> None:
        while not self.stopped.is_set():
            self.beat()
            self.stopped.wait(HEARTBEAT_SECONDS)

    def leave(self, machine: Machine) -> int:
        """Says that the engine leaves, without `draining` before.

        It sends no more pings and goes on serving.

        Returns:
            The status of the answer.
        """
        self.is_leaving = True
        self.stopped.set()
        status, _, _ = call(
            self.fleet.control(machine), "DELETE", f"/v1/endpoints/{self.name}"
        )
        return status

    def stop(self) -> None:
        """Ends the engine's pings and its server."""
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, address: tuple[str, int], engine: Engine):
        self.engine = engine
        super().__init__(address, _Handler)

    def handle_error(self, request, client_address) -> None:
        """Ignores channels that the other side has closed."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_) -> None:
        """Logs nothing."""

    def _handle(self) -> None:
        engine = self.server.engine
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size)
        if self.path == "/healthz":
            status = 503 if engine.is_leaving else 200
            headers = {"X-Marjoramyard-Instance-Id": engine.name}
            self.answer(status, b"", headers)
            return
        if self.path.startswith("/v1/"):
            self.answer(404, b"", {})
            return
        target = self.headers.get("X-Marjoramyard-Target-Instance", "")
        if target and target != engine.name:
            self.answer(421, b"", {"X-Marjoramyard-Not-Executed": "1"})
            return
        number = self.headers.get("X-Marjoramyard-Attempt-Id", "")
        engine.runs.append((number, time.monotonic(), dict(self.headers)))
        if engine.respond is not None:
            engine.respond(self, body)
            return
        self.answer(200, b"done by " + engine.name.encode(), self.signature())

    do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

    def signature(self) -> dict:
        """Returns the headers of an answer to the present request."""
        return {
            "X-Marjoramyard-Attempt-Id": self.headers.get(
                "X-Marjoramyard-Attempt-Id", ""
            ),
            "X-Marjoramyard-Engine-Signature": self.server.engine.name,
        }

    def answer(self, status: int, body: bytes, headers: dict) -> None:
        """Sends a complete answer with a length."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        if self.server.engine.is_leaving:
            self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(body)


class Client(threading.Thread):
    """Sends a request with a key to each gateway in turn, several a second."""

    def __init__(
        self,
        fleet: Fleet,
        gateways: list[Machine],
        path: str,
        pause_seconds: float = 0.1,
    ):
        super().__init__(daemon=True)
        self.pause_seconds = pause_seconds
        self.fleet = fleet
        self.gateways = gateways
        self.path = path
        self.answers: list[tuple[float, str, int]] = []
        self.stopped = threading.Event()

    def run(self) -> None:
        """Sends requests until it is stopped."""
        for number in itertools.count(1):
            if self.stopped.wait(self.pause_seconds):
                return
            gateway = self.gateways[number % len(self.gateways)]
            sent_at = time.monotonic()
            status, _, _ = call(
                self.fleet.frontend(gateway),
                "GET",
                self.path,
                None,
                client_headers(f"{gateway.name}-{number}", 1500),
                2.0,
            )
            self.answers.append((sent_at, gateway.name, status))

    def counts(self, since: float, until: float) -> dict[int, int]:
        """Returns how often each status was received for requests sent then."""
        found: dict[int, int] = {}
        for sent_at, _, status in list(self.answers):
            if since <= sent_at < until:
                found[status] = found.get(status, 0) + 1
        return found


def client_headers(number: str, deadline_ms: int) -> dict:
    """Returns the headers of a client's request."""
    return {
        "Host": HOST_NAME,
        "X-Marjoramyard-Attempt-Id": number,
        "X-Marjoramyard-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": KEY,
    }


def wait_until_served(
    fleet: Fleet, gateways: list[Machine], path: str, seconds: float = 15.0
) -> None:
    """Waits until each gateway serves a request.

    Raises:
        CaseError: One doesn't in time.
    """
    until = time.monotonic() + seconds
    for gateway in gateways:
        for number in itertools.count(1):
            status, answer, _ = call(
                fleet.frontend(gateway),
                "GET",
                path,
                None,
                client_headers(f"warm-up-{gateway.name}-{number}", 1500),
            )
            if status == 200:
                break
            if time.monotonic() > until:
                raise CaseError(f"{gateway.name}: {status} {answer[:200]!r}")
            time.sleep(0.1)
