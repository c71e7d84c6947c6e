"""An engine in a process of its own, which one kind of request crashes.

Usage: engine_process.py NAME SERVICE IP:PORT CONTROL[,CONTROL..] RECORD

Each request that is run is written to RECORD, with the time, its id and
whether it is the one that crashes the engine.
"""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import stand_ins

DEADLY_BODY = b"deadly"
WORK_SECONDS = 0.02


class _Address:
    """A control program, as far as an engine needs to know it."""

    def __init__(self, text: str):
        host, _, port = text.rpartition(":")
        self.address = (host, int(port))


class _Fleet:
    @staticmethod
    def control(machine: _Address) -> tuple[str, int]:
        """Returns the address of a control program."""
        return machine.address


def main() -> None:
    """Serves until a request crashes the engine, or it is killed."""
    name, service, address, controls, record = sys.argv[1:]
    out = os.open(record, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def respond(handler, body: bytes) -> None:
        number = handler.headers.get("X-Marjoramyard-Attempt-Id", "")
        is_deadly = body == DEADLY_BODY
        line = f"{time.monotonic():.4f} {number} {name} {int(is_deadly)}\n"
        os.write(out, line.encode())
        time.sleep(WORK_SECONDS)
        if is_deadly:
            os._exit(1)
        handler.answer(200, b"done by " + name.encode(), handler.signature())

    engine = stand_ins.Engine(
        _Fleet(),
        [_Address(text) for text in controls.split(",")],
        name,
        service,
        _Address(address).address,
    )
    engine.respond = respond
    threading.Event().wait()


if __name__ == "__main__":
    main()
