"""Whole sessions, compared word for word with golden files.

UPDATE_GOLDEN=1 writes them anew; read the difference before committing it.
"""

import os
import re
from pathlib import Path

import pytest
import yaml
from callers import OUTCOME, call

from marjoramyard.standin.local_fleet import start_small_fleet

GOLDEN = Path(__file__).parent / "golden"
SHOWN_HEADERS = (
    "Content-Type",
    OUTCOME,
    "X-Marjoramyard-Replayed",
    "Retry-After",
)
_NORMAL = [
    (re.compile(r"chat-[0-9a-f]{8}"), "chat-ID"),
    (re.compile(r'"retry_after":[0-9.]+'), '"retry_after":SECONDS'),
    (re.compile(r"Retry-After: \d+"), "Retry-After: SECONDS"),
]


def transcript(step, answer):
    lines = [f">>> {step['method']} {step['path']} ({step['workspace']})"]
    if "body" in step:
        lines.append(f">>> {step['body']}")
    lines.append(f"<<< {answer.status}")
    for name in SHOWN_HEADERS:
        if name in answer.headers:
            lines.append(f"<<< {name}: {answer.headers[name]}")
    lines += [f"<<< {line}" for line in answer.text.splitlines() if line]
    text = "\n".join(lines) + "\n\n"
    for pattern, word in _NORMAL:
        text = pattern.sub(word, text)
    return text


async def run_step(fleet, step):
    if "leave" in step:
        address = fleet.endpoint_addresses[step["leave"]]
        async with fleet.session.post(f"http://{address}/admin/leave"):
            pass
        return f"--- {step['leave']} leaves\n\n"
    if "join" in step:
        await fleet.add_endpoint(step["join"], step["kind"], step["service"])
        await fleet.wait_until_serving(step["join"])
        return f"--- {step['join']} joins\n\n"
    step.setdefault("workspace", "counter")
    answer = await call(
        fleet,
        step["method"],
        step["path"],
        workspace=step["workspace"],
        headers=step.get("headers", {}),
        data=step.get("body"),
    )
    return transcript(step, answer)


@pytest.mark.parametrize("name", ["serving", "refusals"])
async def test_session(fleet, bundle, name):
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    steps = yaml.safe_load((GOLDEN / f"{name}.yaml").read_text())
    seen = ""
    for step in steps:
        seen += await run_step(fleet, step)
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(seen)
    assert seen == path.read_text()
