"""The header names, paths and configuration format of a gateway."""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.routing.config import FleetConfig
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.util.decoding import decode_json


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """The names of headers that a gateway reads, sets or removes.

    Attributes:
        attempt: The caller's ID of the attempt; endpoints echo it.
        deadline_ms: Milliseconds that the sender waits for the response.
        api_key: The API key of a workspace; never forwarded.
        workspace: The workspace, set for the endpoint.
        target: The endpoint that is addressed; another one rejects the request.
        not_run: Set by an endpoint that did not run the request.
        leaving: Set to "1" by an endpoint that is leaving.
        signature: The endpoint's signature of the response.
        prompt_parts: The prompt parts, as ID:TOKENS.
        token_counts: The number of prompt tokens and the maximum of output
            tokens.
        last_event: The ID of the last event that the caller has.
        resumes: The caller's ID of the attempt that brought the first event
            of a stream that it takes up again.
        fetch_from: The endpoint to fetch cached prompt parts from.
        fleet_only: Other headers, in lower case, that callers must not set.
    """

    attempt: str = "Request-Id"
    deadline_ms: str = "Request-Deadline-Ms"
    api_key: str = "Api-Key"
    workspace: str = "Workspace"
    target: str = "Target-Endpoint"
    not_run: str = "Not-Run"
    leaving: str = "Endpoint-Leaving"
    signature: str = "Answer-Signature"
    prompt_parts: str = "Prompt-Parts"
    token_counts: str = "Token-Counts"
    last_event: str = "Last-Event-Id"
    resumes: str = "Resumes"
    fetch_from: str = "Fetch-From"
    fleet_only: frozenset[str] = frozenset()

    @property
    def not_forwarded(self) -> frozenset[str]:
        """Headers of callers, in lower case, that are not forwarded."""
        return self.fleet_only | {
            self.api_key.lower(),
            self.workspace.lower(),
            self.target.lower(),
            self.deadline_ms.lower(),
            self.fetch_from.lower(),
        }


class CacheListCall(msgspec.Struct, frozen=True):
    """How an engine is asked which prompt parts it has cached.

    Attributes:
        path: The path of the call, a GET without a body.
        decode: Decodes the body of the response. Raises msgspec.DecodeError if
            it is invalid.
    """

    path: str
    decode: Callable[[bytes], list[PromptPart]]


class GatewayDialect(msgspec.Struct, frozen=True):
    """The conventions of callers, endpoints and configurations.

    Attributes:
        headers: The header names.
        decode_config: Decodes a configuration that the control hosts accepted.
        ready_path: The path of the load balancer's readiness check.
        fractional_retry_after: Whether `Retry-After` is sent with fractions of
            a second. The standard allows whole seconds only.
        cache_list: The call for the cached prompt parts of an engine; None if
            there is none.
    """

    headers: HeaderNames
    decode_config: Callable[[bytes], Result[FleetConfig, str]]
    ready_path: str = "/readyz"
    fractional_retry_after: bool = False
    cache_list: CacheListCall | None = None


GATEWAY_DIALECTS: Registry[GatewayDialect] = Registry("dialect")


def decode_native(text: bytes) -> Result[FleetConfig, str]:
    """Decodes a configuration in the native format."""
    try:
        return Ok(decode_json(text, FleetConfig))
    except msgspec.DecodeError as error:
        return Err(str(error))


def decode_cached_parts(body: bytes) -> list[PromptPart]:
    """Decodes the cached parts of an engine in the native format."""
    return decode_json(body, list[PromptPart])


GATEWAY_DIALECTS.register("native")(
    GatewayDialect(
        HeaderNames(),
        decode_native,
        cache_list=CacheListCall("/cached-parts", decode_cached_parts),
    )
)
