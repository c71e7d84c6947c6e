"""A discrete-event model of one engine that batches requests.

Each step gives every running request a token and reads a chunk of the
prompts that wait to be read, in order of arrival. So a long prompt slows the
tokens of all that run beside it, which is what placement has to predict.
"""

from collections.abc import Callable

import msgspec

from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.standin.experiment.engine_memory import EngineMemory


class EngineSpeeds(msgspec.Struct, frozen=True, kw_only=True):
    """How fast an engine is, and how large.

    Attributes:
        slots: Requests in a batch.
        memory_tokens: Tokens that runs and kept parts share.
        step_ms: A step in which nothing is read.
        context_ms_per_k: Added to a step for a thousand tokens of context.
        read_tokens_per_ms: Prompt tokens read in a millisecond.
        pair_ms_per_m: Added for a million pairs of a token that is read and
            one before it: long prompts cost the square of their length.
        chunk_tokens: The most prompt tokens of a step.
        entry_ms: From arrival until a request can be read.
        event_tokens: Tokens in one event of a stream.
        token_bytes: Memory of one token.
        link_mbps: The rate of transfers between engines.
        fetch_setup_ms: Before the first byte of a transfer.
    """

    slots: int = 64
    memory_tokens: int = 444_000
    step_ms: float = 2.2
    context_ms_per_k: float = 0.0175
    read_tokens_per_ms: float = 140.0
    pair_ms_per_m: float = 0.295
    chunk_tokens: int = 4096
    entry_ms: float = 53.0
    event_tokens: int = 8
    token_bytes: float = 131_072.0
    link_mbps: float = 260_000.0
    fetch_setup_ms: float = 2.7

    def fetch_ms(self, tokens: float) -> float:
        """Returns how long a transfer of kept tokens takes."""
        bits = tokens * self.token_bytes * 8
        return self.fetch_setup_ms + bits / (self.link_mbps * 1000)


class ModelRun:
    """One request at an engine.

    Attributes:
        unread: Prompt tokens that are still to be read.
        context: Prompt tokens read or kept, and tokens written.
        written: Tokens written so far.
    """

    def __init__(
        self,
        key: str,
        parts: tuple[PromptPart, ...],
        output_tokens: int,
        fetches: bool = False,
    ):
        self.key = key
        self.parts = parts
        self.output_tokens = output_tokens
        self.fetches = fetches
        self.prompt_tokens = sum(part.tokens for part in parts)
        self.unread = float(self.prompt_tokens)
        self.context = 0.0
        self.written = 0
        self.own_tokens = 0.0
        self.is_gone = False

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too."""
        return self.parts[:-1]


class ModelEngine:
    """Runs requests step by step.

    Attributes:
        on_event: Called with a run at each event of its stream.
        on_end: Called with a run after its last event.
        slowness: How many times longer than usual each step takes.
    """

    def __init__(
        self,
        name: str,
        speeds: EngineSpeeds,
        schedule: Callable[[float, Callable[[], None]], None],
        on_event: Callable[[ModelRun, float], None],
        on_end: Callable[[ModelRun, float], None],
    ):
        self.name = name
        self.speeds = speeds
        self.schedule = schedule
        self.on_event = on_event
        self.on_end = on_end
        self.memory = EngineMemory(speeds.memory_tokens)
        self.waiting: list[ModelRun] = []
        self.reading: list[ModelRun] = []
        self.writing: list[ModelRun] = []
        self.slowness = 1.0
        self.is_stepping = False
        self.lifetime = 0
        self.busy_ms = 0.0
        self.reading_ms = 0.0
        self.tokens_read = 0.0
        self.shared_tokens_read = 0.0
        self.preempted = 0

    def submit(self, run: ModelRun, now: float) -> None:
        """Takes in a request that has just arrived."""
        lifetime = self.lifetime

        def enter() -> None:
            if not run.is_gone and lifetime == self.lifetime:
                self.waiting.append(run)
                self._wake(now + self.speeds.entry_ms)

        self.schedule(now + self.speeds.entry_ms, enter)

    def _wake(self, now: float) -> None:
        if not self.is_stepping:
            self._begin_step(now)

    def cancel(self, run: ModelRun) -> None:
        """The sender has closed the connection of a run."""
        run.is_gone = True
        if run in self.waiting:
            self.waiting.remove(run)
        for group in (self.reading, self.writing):
            if run in group:
                group.remove(run)
                self._free(run)

    def crash(self) -> list[ModelRun]:
        """Ends all runs and forgets all parts; returns the runs."""
        lost = [*self.waiting, *self.reading, *self.writing]
        for run in lost:
            run.is_gone = True
        self.waiting, self.reading, self.writing = [], [], []
        self.memory.clear()
        self.lifetime += 1
        return lost

    def _admit(self) -> None:
        while self.waiting:
            if len(self.reading) + len(self.writing) >= self.speeds.slots:
                return
            run = self.waiting[0]
            kept = self.memory.leading_tokens(run.parts)
            # The last token is always read: it makes the first one written.
            run.context = float(min(kept, run.prompt_tokens - 1))
            run.unread = run.prompt_tokens - run.context
            shared = sum(part.tokens for part in run.shared)
            self.shared_tokens_read += max(0.0, shared - kept)
            run.own_tokens = float(run.prompt_tokens - shared)
            self.memory.hold(run.shared)
            self.memory.run_tokens += run.own_tokens
            if not self.memory.make_room():
                self._free(run)
                if self.reading or self.writing:
                    return
                self.memory.run_tokens += run.own_tokens
                self.memory.hold(run.shared)
            self.waiting.pop(0)
            self.reading.append(run)

    def _free(self, run: ModelRun) -> None:
        self.memory.release(run.shared)
        self.memory.run_tokens -= run.own_tokens
        run.own_tokens = 0.0

    def _begin_step(self, now: float) -> None:
        self._admit()
        if not self.reading and not self.writing:
            self.is_stepping = False
            return
        self.is_stepping = True
        speeds = self.speeds
        budget = float(speeds.chunk_tokens)
        read, pairs = 0.0, 0.0
        for run in self.reading:
            chunk = min(budget, run.unread)
            pairs += chunk * (run.context + chunk / 2)
            run.context += chunk
            run.unread -= chunk
            read += chunk
            budget -= chunk
            if budget <= 0:
                break
        context = sum(run.context for run in self.writing)
        reading_ms = (
            read / speeds.read_tokens_per_ms
            + pairs * speeds.pair_ms_per_m / 1e6
        )
        step_ms = speeds.step_ms + context * speeds.context_ms_per_k / 1000
        spent = (step_ms + reading_ms) * self.slowness
        self.busy_ms += spent
        self.reading_ms += reading_ms * self.slowness
        self.tokens_read += read
        end = now + spent
        lifetime = self.lifetime

        def finish() -> None:
            if lifetime == self.lifetime:
                self._end_step(end)
            else:
                self.is_stepping = False
                self._wake(end)

        self.schedule(end, finish)

    def _end_step(self, now: float) -> None:
        done = [run for run in self.reading if run.unread <= 0]
        if done:
            self.reading = [run for run in self.reading if run.unread > 0]
        ended = []
        for run in self.writing:
            run.written += 1
            run.context += 1
            run.own_tokens += 1
            is_last = run.written >= run.output_tokens
            if is_last or (run.written - 1) % self.speeds.event_tokens == 0:
                self.on_event(run, now)
            if is_last:
                ended.append(run)
        self.memory.run_tokens += len(self.writing)
        for run in done:
            run.written += 1
            self.on_event(run, now)
            if run.written >= run.output_tokens:
                self._free(run)
                self.on_end(run, now)
            else:
                self.writing.append(run)
        for run in ended:
            self.writing.remove(run)
            self._free(run)
            self.on_end(run, now)
        self._relieve_memory()
        self._begin_step(now)

    def _relieve_memory(self) -> None:
        """Preempts the newest run while memory is short; it is read anew."""
        while not self.memory.make_room() and len(self.writing) > 1:
            run = self.writing.pop()
            self._free(run)
            self.preempted += 1
            self.waiting.insert(0, run)
