"""Sessions of requests, compared with golden files.

UPDATE_GOLDEN=1 rewrites the files; review the difference before a commit.
"""

import os
import re
from pathlib import Path

import pytest
import yaml
from callers import OUTCOME_HEADER, call

from marjoramyard.standin.local_fleet import start_small_fleet

GOLDEN = Path(__file__).parent / "golden"
SHOWN_HEADERS = (
    "Content-Type",
    OUTCOME_HEADER,
    "X-Marjoramyard-Replayed",
    "Retry-After",
)
_VARIABLE_PARTS = [
    (re.compile(r"chat-[0-9a-f]{8}"), "chat-ID"),
    (re.compile(r'"retry_after":[0-9.]+'), '"retry_after":SECONDS'),
    (re.compile(r"Retry-After: \d+"), "Retry-After: SECONDS"),
]


def transcript(step, response):
    lines = [f">>> {step['method']} {step['path']} ({step['workspace']})"]
    if "body" in step:
        lines.append(f">>> {step['body']}")
    lines.append(f"<<< {response.status}")
    for name in SHOWN_HEADERS:
        if name in response.headers:
            lines.append(f"<<< {name}: {response.headers[name]}")
    lines += [f"<<< {line}" for line in response.text.splitlines() if line]
    text = "\n".join(lines) + "\n\n"
    for pattern, placeholder in _VARIABLE_PARTS:
        text = pattern.sub(placeholder, text)
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
    response = await call(
        fleet,
        step["method"],
        step["path"],
        workspace=step["workspace"],
        headers=step.get("headers", {}),
        data=step.get("body"),
    )
    return transcript(step, response)


@pytest.mark.parametrize("name", ["serving", "refusals"])
async def test_session(fleet, bundle, name):
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    steps = yaml.safe_load((GOLDEN / f"{name}.yaml").read_text())
    actual = ""
    for step in steps:
        actual += await run_step(fleet, step)
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(actual)
    assert actual == path.read_text()
