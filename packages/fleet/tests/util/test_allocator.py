"""Memory that the process has freed."""

import subprocess
import sys

PROGRAM = """
from endless_replies import resident_bytes
from marjoramyard.fleet.util.allocator import return_freed_memory

return_freed_memory()
bytearray(20_000_000)
before = resident_bytes()
buffers, kept = [], []
for _ in range(300):
    buffers.append(b"x" * 200_000)
    kept.append(b"x" * 600)
while buffers:
    buffers.pop(0)
print(resident_bytes() - before)
"""


def test_freed_buffers_are_returned_to_the_system():
    """Guards against processes that stay as large as in their worst moment."""
    output = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys; sys.path.append('tests')" + PROGRAM,
        ],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert int(output) < 10_000_000
