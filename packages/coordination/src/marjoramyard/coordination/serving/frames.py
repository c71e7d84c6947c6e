"""Answers as numbered frames with an explicit end.

A frame is a line of JSON; a data frame's line is followed by its bytes.
"""

import zlib
from collections import deque

import msgspec

from marjoramyard.kernel.errors import Failure

MAX_HEADER_BYTES = 1 << 20
REPLAY_BUFFER_BYTES = 1 << 18


class FrameHeader(msgspec.Struct, omit_defaults=True):
    """The line of one frame; which field is set tells its sort.

    Attributes:
        n: The frame's number, from 0 without gaps; -1 for a keepalive.
        status: The answer's HTTP status, in frame 0.
        headers: The answer's headers, in frame 0.
        size: How many bytes of the answer follow the line.
        frames: In the end frame, how many frames came before it.
        checksum: In the end frame, the CRC-32 of all bytes.
        failure: Instead of an end: why the answer is cut.
    """

    n: int
    status: int = 0
    headers: list[tuple[str, str]] = []
    size: int = 0
    frames: int = -1
    checksum: int = 0
    failure: Failure | None = None

    @property
    def is_keepalive(self) -> bool:
        """Says only that the sender lives."""
        return self.n < 0

    @property
    def is_end(self) -> bool:
        """The answer is whole if count and checksum agree."""
        return self.frames >= 0

    @property
    def is_last(self) -> bool:
        """No frame follows."""
        return self.is_end or self.failure is not None


class Frame(msgspec.Struct):
    """A frame with its bytes."""

    head: FrameHeader
    data: bytes = b""

    def encode(self) -> bytes:
        """Returns the frame as it travels."""
        return msgspec.json.encode(self.head) + b"\n" + self.data


KEEPALIVE = Frame(FrameHeader(-1))


class ReplayLostError(Exception):
    """A resume asked for frames that are no longer kept."""


class ReplayBuffer:
    """The frames of one answer, the last of them kept for a resume.

    Attributes:
        next_number: The number of the frame to come.
        first_kept: The number of the oldest frame still kept.
        sent: Frames below this number were handed to a link.
    """

    def __init__(self, limit: int = REPLAY_BUFFER_BYTES):
        self.limit = limit
        self.frames: deque[Frame] = deque()
        self.kept_bytes = 0
        self.next_number = 0
        self.first_kept = 0
        self.sent = 0
        self.checksum = 0
        self.finished = False

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Adds frame 0."""
        self._append(Frame(FrameHeader(0, status=status, headers=headers)))

    def add_data(self, chunk: bytes) -> None:
        """Adds a piece of the answer."""
        self.checksum = zlib.crc32(chunk, self.checksum)
        head = FrameHeader(self.next_number, size=len(chunk))
        self._append(Frame(head, chunk))

    def end(self) -> None:
        """Adds the explicit end of a whole answer."""
        number = self.next_number
        head = FrameHeader(number, frames=number, checksum=self.checksum)
        self.finished = True
        self._append(Frame(head))

    def fail(self, reason: Failure) -> None:
        """Adds the end of an answer that was cut or never began."""
        self.finished = True
        self._append(Frame(FrameHeader(self.next_number, failure=reason)))

    def _append(self, frame: Frame) -> None:
        self.frames.append(frame)
        self.next_number += 1
        self.kept_bytes += len(frame.data)
        # Only frames that a link has taken may go: an unsent one has no
        # other copy, and the sender waits while too many are unsent.
        while self.kept_bytes > self.limit and self.first_kept < self.sent:
            self.kept_bytes -= len(self.frames.popleft().data)
            self.first_kept += 1

    @property
    def is_full(self) -> bool:
        """Whether the producer should wait for the link."""
        unsent = self.next_number - self.sent
        return unsent > 1 and self.kept_bytes > self.limit

    def frames_from(self, number: int) -> list[Frame]:
        """Returns the frames from `number` on.

        Raises:
            ReplayLostError: The first of them is no longer kept.
        """
        if number < self.first_kept:
            raise ReplayLostError(f"frame {number} is no longer kept")
        start = number - self.first_kept
        return [self.frames[i] for i in range(start, len(self.frames))]

    def mark_sent(self, number: int) -> None:
        """Notes that frames below `number` were handed to a link."""
        self.sent = max(self.sent, number)


class BrokenResponseError(Exception):
    """The frames that came are not the ones that were sent."""


class ResponseReader:
    """Checks that frames come whole, in order, and each once.

    Attributes:
        next_number: The frame to ask for when a link is resumed.
        whole: The end came, and count and checksum agree.
    """

    def __init__(self):
        self.next_number = 0
        self.checksum = 0
        self.whole = False

    def accept(self, frame: Frame) -> bool:
        """Checks the next frame; returns False for one already had.

        Raises:
            BrokenResponseError: A frame is missing or the sum is wrong.
        """
        head = frame.head
        if head.n < self.next_number:
            return False
        if head.n > self.next_number:
            raise BrokenResponseError(
                f"frame {self.next_number} is missing before {head.n}"
            )
        self.next_number += 1
        self.checksum = zlib.crc32(frame.data, self.checksum)
        if head.is_end:
            if head.frames != head.n or head.checksum != self.checksum:
                raise BrokenResponseError("the answer's end does not match it")
            self.whole = True
        return True


_HEAD_DECODER = msgspec.json.Decoder(FrameHeader)


class FrameParser:
    """Cuts a byte stream into frames."""

    def __init__(self):
        self.buffer = bytearray()
        self.head: FrameHeader | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that the data completes."""
        self.buffer += data
        found = []
        while (frame := self._next()) is not None:
            found.append(frame)
        return found

    def _next(self) -> Frame | None:
        if self.head is None:
            end = self.buffer.find(b"\n")
            if end < 0:
                if len(self.buffer) > MAX_HEADER_BYTES:
                    raise BrokenResponseError("a frame's line does not end")
                return None
            try:
                self.head = _HEAD_DECODER.decode(bytes(self.buffer[:end]))
            except msgspec.DecodeError as error:
                raise BrokenResponseError(f"not a frame: {error}") from error
            del self.buffer[: end + 1]
        if len(self.buffer) < self.head.size:
            return None
        data = bytes(self.buffer[: self.head.size])
        del self.buffer[: self.head.size]
        frame, self.head = Frame(self.head, data), None
        return frame
