"""Responses as numbered frames with an explicit end.

A frame is a header, which is a line of JSON, and the data that it announces.
"""

import zlib
from collections import deque

import msgspec

from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.util.decoding import decode_json

MAX_HEADER_BYTES = 1 << 20
MAX_DATA_BYTES = 8 << 20
"""Twice the largest event of a stream."""
REPLAY_BUFFER_BYTES = 1 << 18


class FrameHeader(msgspec.Struct, omit_defaults=True):
    """Header of a frame; the fields set determine the type of the frame.

    Attributes:
        n: Number of the frame, consecutive from 0; -1 for a keepalive.
        status: HTTP status of the response, in frame 0.
        headers: HTTP headers of the response, in frame 0.
        size: Number of data bytes that follow the header.
        frames: Number of preceding frames, in the end frame.
        checksum: CRC-32 of the data of all frames, in the end frame.
        failure: Why the response is incomplete, in place of the end frame.
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
        """Whether the frame only keeps the connection alive."""
        return self.n < 0

    @property
    def is_end(self) -> bool:
        """Whether the frame ends a complete response."""
        return self.frames >= 0

    @property
    def is_last(self) -> bool:
        """Whether no frame follows."""
        return self.is_end or self.failure is not None


class Frame(msgspec.Struct):
    """A frame: header and data."""

    header: FrameHeader
    data: bytes = b""

    def encode(self) -> bytes:
        """Returns the wire format of the frame."""
        return msgspec.json.encode(self.header) + b"\n" + self.data


KEEPALIVE = Frame(FrameHeader(-1))


class ReplayLostError(Exception):
    """Frames requested by a resume are no longer in the replay buffer."""


class ReplayBuffer:
    """The frames of a response, of which the latest are kept for a resume.

    Attributes:
        limit: Size in bytes above which sent frames are discarded.
        next_number: Number of the next frame to be added.
        first_kept: Number of the oldest frame in the buffer.
        sent: Number of the first frame that has not been sent.
        checksum: CRC-32 of the data of all frames.
        finished: Whether the last frame has been added.
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
        """Adds frame 0, with HTTP status and headers."""
        self._append(Frame(FrameHeader(0, status=status, headers=headers)))

    def add_data(self, chunk: bytes) -> None:
        """Adds a chunk of the response body."""
        self.checksum = zlib.crc32(chunk, self.checksum)
        header = FrameHeader(self.next_number, size=len(chunk))
        self._append(Frame(header, chunk))

    def end(self) -> None:
        """Adds the end frame of a complete response."""
        number = self.next_number
        header = FrameHeader(number, frames=number, checksum=self.checksum)
        self.finished = True
        self._append(Frame(header))

    def fail(self, reason: Failure) -> None:
        """Adds the last frame of a response that is incomplete or missing."""
        self.finished = True
        self._append(Frame(FrameHeader(self.next_number, failure=reason)))

    def _append(self, frame: Frame) -> None:
        self.frames.append(frame)
        self.next_number += 1
        self.kept_bytes += len(frame.data)
        self._discard_sent()

    def _discard_sent(self) -> None:
        # Unsent frames must be kept; `is_full` limits how many there are.
        while self.kept_bytes > self.limit and self.first_kept < self.sent:
            self.kept_bytes -= len(self.frames.popleft().data)
            self.first_kept += 1

    def keep_unsent(self) -> None:
        """Discards frames that were sent, from now on as soon as they are."""
        self.limit = 0
        self._discard_sent()

    @property
    def is_full(self) -> bool:
        """Whether the producer should wait until frames have been sent."""
        unsent = self.next_number - self.sent
        return unsent > 1 and self.kept_bytes > self.limit

    def frames_from(self, number: int) -> list[Frame]:
        """Returns the frames from `number` on.

        Raises:
            ReplayLostError: The frame `number` was discarded.
        """
        if number < self.first_kept:
            raise ReplayLostError(
                f"frame {number} is no longer in the replay buffer"
            )
        start = number - self.first_kept
        return [self.frames[i] for i in range(start, len(self.frames))]

    def mark_sent(self, number: int) -> None:
        """Records that all frames below `number` have been sent."""
        self.sent = max(self.sent, number)


class BrokenResponseError(Exception):
    """The frames received are not a valid response."""


class ResponseReader:
    """Checks that the frames of a response are complete and in order.

    Attributes:
        next_number: Number of the next frame expected, from which to resume.
        checksum: CRC-32 of the data received.
        complete: Whether a valid end frame has been received.
    """

    def __init__(self):
        self.next_number = 0
        self.checksum = 0
        self.complete = False

    def accept(self, frame: Frame) -> bool:
        """Checks the next frame; returns False if it is a duplicate.

        Raises:
            BrokenResponseError: A frame is missing, or the end frame does
                not match the frames received.
        """
        header = frame.header
        if header.n < self.next_number:
            return False
        if header.n > self.next_number:
            raise BrokenResponseError(
                f"got frame {header.n} instead of {self.next_number}"
            )
        self.next_number += 1
        self.checksum = zlib.crc32(frame.data, self.checksum)
        if header.is_end:
            if header.frames != header.n or header.checksum != self.checksum:
                raise BrokenResponseError(
                    "frame count or checksum of the response does not match"
                )
            self.complete = True
        return True


class FrameParser:
    """Splits a byte stream into frames."""

    def __init__(self):
        self.buffer = bytearray()
        self.header: FrameHeader | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Adds data and returns the frames that are complete now.

        Raises:
            BrokenResponseError: A header is too long or invalid, or announces
                too much data.
        """
        self.buffer += data
        frames = []
        while (frame := self._next()) is not None:
            frames.append(frame)
        return frames

    def _next(self) -> Frame | None:
        if self.header is None:
            end = self.buffer.find(b"\n")
            if end < 0:
                if len(self.buffer) > MAX_HEADER_BYTES:
                    raise BrokenResponseError("frame header is too long")
                return None
            try:
                self.header = decode_json(bytes(self.buffer[:end]), FrameHeader)
            except msgspec.DecodeError as error:
                raise BrokenResponseError(
                    f"invalid frame header: {error}"
                ) from error
            del self.buffer[: end + 1]
            if not 0 <= self.header.size <= MAX_DATA_BYTES:
                raise BrokenResponseError("invalid size of a frame")
        if len(self.buffer) < self.header.size:
            return None
        data = bytes(self.buffer[: self.header.size])
        del self.buffer[: self.header.size]
        frame, self.header = Frame(self.header, data), None
        return frame
