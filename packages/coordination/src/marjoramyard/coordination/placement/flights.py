"""A request at an engine, as the broker knows it."""

import msgspec


class Flight(msgspec.Struct):
    """A request at an engine.

    Attributes:
        engine: Where it is.
        tokens: Prompt tokens that the engine had to read.
        memory: What its run takes of the engine's memory.
        granted_at: When it was granted, in ms of the broker's clock.
        is_reading: Its first token has not come.
        router: Who sends it.
        is_timely: Its router sends it at once, and tells at once of it.
        found_idle: Nothing else was to be read there when it was granted.
        read_by: When its first token is expected.
    """

    engine: str
    tokens: float
    memory: float
    granted_at: float
    is_reading: bool = True
    router: str = ""
    is_timely: bool = True
    found_idle: bool = False
    read_by: float = 0.0
