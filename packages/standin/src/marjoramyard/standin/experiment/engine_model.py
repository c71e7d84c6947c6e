"""A discrete-event model of one engine with continuous batching.

Each step generates one token for every decoding request and prefills a chunk
of the pending prompts in order of arrival. A long prompt therefore slows down
all requests of the batch.
"""

from collections.abc import Callable

import msgspec

from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.standin.experiment.engine_memory import EngineMemory


class EngineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Size and speed of an engine.

    Attributes:
        slots: Largest batch, in requests.
        memory_tokens: Memory for active requests and cached prompt parts.
        step_ms: Duration of a step without prefill and context.
        context_ms_per_k: Added per thousand tokens of decoding context.
        read_tokens_per_ms: Prompt tokens prefilled per millisecond.
        pair_ms_per_m: Added per million pairs of a prefilled token and one
            that precedes it (attention is quadratic in prompt length).
        chunk_tokens: Largest number of prompt tokens prefilled in a step.
        entry_ms: Time from arrival until a request is queued for a slot.
        event_tokens: Tokens per event of a stream.
        token_bytes: Memory of one token.
        link_mbps: Bandwidth between engines in megabits per second.
        fetch_setup_ms: Latency of a transfer between engines.
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
        """Returns the duration of a transfer of cached tokens."""
        bits = tokens * self.token_bytes * 8
        return self.fetch_setup_ms + bits / (self.link_mbps * 1000)


class SimulatedRequest:
    """One request at an engine.

    Attributes:
        remaining_prefill: Prompt tokens that are not prefilled yet.
        context: Prompt tokens prefilled or cached, and generated tokens.
        generated_tokens: Tokens generated so far.
        own_tokens: Memory in addition to the shared parts, in tokens.
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
        self.remaining_prefill = float(self.prompt_tokens)
        self.context = 0.0
        self.generated_tokens = 0
        self.own_tokens = 0.0
        self.is_cancelled = False

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """All parts but the last, which no other request has."""
        return self.parts[:-1]


class SimulatedEngine:
    """Runs batches of requests step by step.

    Attributes:
        schedule: Runs a callback at a time of the simulation.
        on_event: Called with a request and the time of each of its events.
        on_end: Called with a request and the time of its last event.
        queue: Requests that wait for a slot and memory.
        prefilling: Requests of the batch in their prefill phase.
        decoding: Requests of the batch that generate tokens.
        step_factor: Factor by which steps always take longer than the
            parameters say.
        slowdown: Factor by which steps take longer than usual.
        incarnation: Number of crashes so far.
        shared_prefilled_tokens: Tokens of shared parts that were prefilled
            because they were not cached.
    """

    def __init__(
        self,
        name: str,
        parameters: EngineParameters,
        schedule: Callable[[float, Callable[[], None]], None],
        on_event: Callable[[SimulatedRequest, float], None],
        on_end: Callable[[SimulatedRequest, float], None],
        step_factor: float = 1.0,
    ):
        self.name = name
        self.step_factor = step_factor
        self.parameters = parameters
        self.schedule = schedule
        self.on_event = on_event
        self.on_end = on_end
        self.memory = EngineMemory(parameters.memory_tokens)
        self.queue: list[SimulatedRequest] = []
        self.prefilling: list[SimulatedRequest] = []
        self.decoding: list[SimulatedRequest] = []
        self.slowdown = 1.0
        self.is_stepping = False
        self.incarnation = 0
        self.busy_ms = 0.0
        self.prefill_ms = 0.0
        self.prefilled_tokens = 0.0
        self.shared_prefilled_tokens = 0.0
        self.preemptions = 0

    def submit(self, request: SimulatedRequest, now: float) -> None:
        """Accepts a request that has just arrived."""
        incarnation = self.incarnation

        def enqueue() -> None:
            if not request.is_cancelled and incarnation == self.incarnation:
                self.queue.append(request)
                self._start_stepping(now + self.parameters.entry_ms)

        self.schedule(now + self.parameters.entry_ms, enqueue)

    def _start_stepping(self, now: float) -> None:
        if not self.is_stepping:
            self._begin_step(now)

    def cancel(self, request: SimulatedRequest) -> None:
        """Removes a request whose connection was closed."""
        request.is_cancelled = True
        if request in self.queue:
            self.queue.remove(request)
        for group in (self.prefilling, self.decoding):
            if request in group:
                group.remove(request)
                self._release_memory(request)

    def crash(self) -> list[SimulatedRequest]:
        """Drops all requests and cached parts; returns the requests."""
        lost = [*self.queue, *self.prefilling, *self.decoding]
        for request in lost:
            request.is_cancelled = True
        self.queue, self.prefilling, self.decoding = [], [], []
        self.memory.clear()
        self.incarnation += 1
        return lost

    def _admit(self) -> None:
        while self.queue:
            if (
                len(self.prefilling) + len(self.decoding)
                >= self.parameters.slots
            ):
                return
            request = self.queue[0]
            cached = self.memory.leading_tokens(request.parts)
            # The last prompt token is always prefilled: it yields the first
            # generated token.
            request.context = float(min(cached, request.prompt_tokens - 1))
            request.remaining_prefill = request.prompt_tokens - request.context
            shared = sum(part.tokens for part in request.shared_parts)
            self.shared_prefilled_tokens += max(0.0, shared - cached)
            request.own_tokens = float(request.prompt_tokens - shared)
            self.memory.pin(request.shared_parts)
            self.memory.active_tokens += request.own_tokens
            if not self.memory.evict_unpinned():
                self._release_memory(request)
                if self.prefilling or self.decoding:
                    return
                self.memory.active_tokens += request.own_tokens
                self.memory.pin(request.shared_parts)
            self.queue.pop(0)
            self.prefilling.append(request)

    def _release_memory(self, request: SimulatedRequest) -> None:
        self.memory.unpin(request.shared_parts)
        self.memory.active_tokens -= request.own_tokens
        request.own_tokens = 0.0

    def _begin_step(self, now: float) -> None:
        self._admit()
        if not self.prefilling and not self.decoding:
            self.is_stepping = False
            return
        self.is_stepping = True
        parameters = self.parameters
        budget = float(parameters.chunk_tokens)
        prefilled, pairs = 0.0, 0.0
        for request in self.prefilling:
            chunk = min(budget, request.remaining_prefill)
            pairs += chunk * (request.context + chunk / 2)
            request.context += chunk
            request.remaining_prefill -= chunk
            prefilled += chunk
            budget -= chunk
            if budget <= 0:
                break
        context = sum(request.context for request in self.decoding)
        prefill_ms = (
            prefilled / parameters.read_tokens_per_ms
            + pairs * parameters.pair_ms_per_m / 1e6
        )
        step_ms = (
            parameters.step_ms + context * parameters.context_ms_per_k / 1000
        )
        factor = self.step_factor * self.slowdown
        duration_ms = (step_ms + prefill_ms) * factor
        self.busy_ms += duration_ms
        self.prefill_ms += prefill_ms * factor
        self.prefilled_tokens += prefilled
        end = now + duration_ms
        incarnation = self.incarnation

        def finish_step() -> None:
            if incarnation == self.incarnation:
                self._end_step(end)
            else:
                self.is_stepping = False
                self._start_stepping(end)

        self.schedule(end, finish_step)

    def _end_step(self, now: float) -> None:
        prefilled = [
            request
            for request in self.prefilling
            if request.remaining_prefill <= 0
        ]
        if prefilled:
            self.prefilling = [
                request
                for request in self.prefilling
                if request.remaining_prefill > 0
            ]
        ended = []
        for request in self.decoding:
            request.generated_tokens += 1
            request.context += 1
            request.own_tokens += 1
            is_last = request.generated_tokens >= request.output_tokens
            if (
                is_last
                or (request.generated_tokens - 1) % self.parameters.event_tokens
                == 0
            ):
                self.on_event(request, now)
            if is_last:
                ended.append(request)
        self.memory.active_tokens += len(self.decoding)
        for request in prefilled:
            request.generated_tokens += 1
            self.on_event(request, now)
            if request.generated_tokens >= request.output_tokens:
                self._release_memory(request)
                self.on_end(request, now)
            else:
                self.decoding.append(request)
        for request in ended:
            self.decoding.remove(request)
            self._release_memory(request)
            self.on_end(request, now)
        self._preempt_until_memory_fits()
        self._begin_step(now)

    def _preempt_until_memory_fits(self) -> None:
        """Preempts the newest requests; they are queued and prefilled again."""
        while not self.memory.evict_unpinned() and len(self.decoding) > 1:
            request = self.decoding.pop()
            self._release_memory(request)
            self.preemptions += 1
            self.queue.insert(0, request)
