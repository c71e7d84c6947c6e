"""Whose names callers and endpoints use on a gateway."""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.routing.config import FleetConfig
from marjoramyard.kernel.registry import Registry


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """The headers that a gateway reads, sets or keeps from passing.

    Attributes:
        attempt: The caller's id of this attempt; endpoints echo it.
        deadline_ms: Milliseconds that the sender will wait.
        api_key: The key of a workspace; never passed on.
        workspace: The workspace, told to the endpoint.
        target: The endpoint that is meant; another one refuses.
        not_run: An endpoint's word that it did not run the request.
        signature: The endpoint's proof that the answer is its own.
        prompt_parts: The parts of the prompt, as ID:TOKENS.
        token_counts: Prompt tokens and the most output tokens.
        last_event: The last event that the caller has.
        fetch_from: The endpoint that keeps parts of the prompt.
        ours: Others that only the fleet may set, in lower case.
    """

    attempt: str = "Request-Id"
    deadline_ms: str = "Request-Deadline-Ms"
    api_key: str = "Api-Key"
    workspace: str = "Workspace"
    target: str = "Target-Endpoint"
    not_run: str = "Not-Run"
    signature: str = "Answer-Signature"
    prompt_parts: str = "Prompt-Parts"
    token_counts: str = "Token-Counts"
    last_event: str = "Last-Event-Id"
    fetch_from: str = "Fetch-From"
    fleet_only: frozenset[str] = frozenset()

    @property
    def not_forwarded(self) -> frozenset[str]:
        """What a caller's header must not bring to an endpoint."""
        return self.fleet_only | {
            self.api_key.lower(),
            self.workspace.lower(),
            self.target.lower(),
            self.deadline_ms.lower(),
            self.fetch_from.lower(),
        }


class GatewayDialect(msgspec.Struct, frozen=True):
    """How callers, endpoints and configurations are read.

    Attributes:
        headers: The names of headers.
        decode_config: Reads a configuration that control hosts accepted.
        ready_path: Where the balancer asks for readiness.
        fractional_retry_after: Callers read fractions of a second in
            `Retry-After`; the standard has whole ones.
    """

    headers: HeaderNames
    decode_config: Callable[[bytes], Result[FleetConfig, str]]
    ready_path: str = "/readyz"
    fractional_retry_after: bool = False


GATEWAY_DIALECTS: Registry[GatewayDialect] = Registry("dialect")


def decode_native(text: bytes) -> Result[FleetConfig, str]:
    """Reads a configuration in our own names."""
    try:
        return Ok(msgspec.json.decode(text, type=FleetConfig))
    except msgspec.DecodeError as error:
        return Err(str(error))


GATEWAY_DIALECTS.register("native")(
    GatewayDialect(HeaderNames(), decode_native)
)
