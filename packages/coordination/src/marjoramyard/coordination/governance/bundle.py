"""The configuration bundle: row types, lookup tables and validation."""

import re
import sys
from collections.abc import Iterator
from typing import Any

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.fairness.scheduler import FairnessPolicy
from marjoramyard.coordination.governance.suspects import QUARANTINE_SECONDS
from marjoramyard.coordination.serving.request_queues import RequestClass
from marjoramyard.kernel.util.canonical import canonical_bytes, digest
from marjoramyard.kernel.util.field_checks import (
    MAX_NAME_CHARS,
    number_problems,
    text_problems,
)

KEY_HASH_HEX_DIGITS = 64
MIN_APPROVERS = 2
_DIGEST_BITS = 256
_KEY_HASH = re.compile(f"[0-9a-fA-F]{{{KEY_HASH_HEX_DIGITS}}}")


class Workspace(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, gc=False
):
    """A customer's workspace.

    Attributes:
        share: The weight in fair queueing; must be positive.
        services: The names of the services that it may call.
        key_hashes: The SHA-256 hashes of its API keys, in hex.
        max_waiting: The maximum number of requests queued at one entry.
        max_waiting_bytes: The maximum size of these requests, in bytes.
    """

    share: float
    services: tuple[str, ...]
    key_hashes: tuple[str, ...]
    max_waiting: int = 1000
    max_waiting_bytes: int = 64 << 20

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of the row's values."""
        for field in ("share", "max_waiting", "max_waiting_bytes"):
            yield from number_problems(
                f"{path}.{field}", getattr(self, field), is_zero_valid=False
            )
        if not all(map(_KEY_HASH.fullmatch, self.key_hashes)):
            yield f"{path}.key_hashes: must be SHA-256 hashes in hex"


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service that requests are routed to.

    Attributes:
        kind: "engine" for model engines, "plain" for other services.
        models: The model names in chat requests that select this service.
        stall_seconds: The maximum time without data within a response.
        deadline_seconds: The deadline of requests that specify none.
        max_deadline_seconds: The maximum deadline a request may specify.
        max_body_bytes: The maximum size of a request body; 0 if there may be
            none.
    """

    kind: str
    models: list[str] = []
    stall_seconds: float = 20.0
    deadline_seconds: float = 60.0
    max_deadline_seconds: float = 900.0
    max_body_bytes: int = 4 << 20

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of the row's values."""
        for field in (
            "stall_seconds",
            "deadline_seconds",
            "max_deadline_seconds",
        ):
            yield from number_problems(
                f"{path}.{field}", getattr(self, field), is_zero_valid=False
            )
        yield from number_problems(
            f"{path}.max_body_bytes", self.max_body_bytes
        )
        for model in self.models:
            yield from text_problems(f"{path}.models", model)


class Rule(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Request handling for a service under a path prefix.

    The rule with the longest matching prefix applies.

    Attributes:
        service: The service that the rule belongs to.
        path: The path prefix.
        methods: The HTTP methods that the rule matches; empty for all.
        repeatable: Whether a request may be sent again after a failure.
        request_class: The name of the `RequestClass`.
    """

    service: str
    path: str = "/"
    methods: list[str] = []
    repeatable: bool = False
    request_class: str = RequestClass.INTERACTIVE.value

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of the row's values."""
        yield from text_problems(f"{path}.path", self.path)
        for method in self.methods:
            yield from text_problems(f"{path}.methods", method)


class Operator(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An operator who may change the bundle; the key is Ed25519, in hex."""

    public_key: str
    roles: tuple[str, ...] = ("author", "approver")

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of the row's values."""
        for role in self.roles:
            yield from text_problems(f"{path}.roles", role)


class Policy(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Fleet-wide tuning parameters."""

    prefix_slack: float = 0.0
    zone_slack: float = 0.0
    reserve: float = 0.5
    totals_step: float = 0.0
    credit_limit: float = 1_000_000.0
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    quarantine_seconds: float = QUARANTINE_SECONDS
    ledger_capacity: int = 100_000

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of the row's values."""
        for field in self.__struct_fields__:
            yield from number_problems(
                f"{path}.{field}",
                getattr(self, field),
                is_zero_valid=field != "ledger_capacity",
            )

    def fairness(self) -> FairnessPolicy:
        """Returns the scheduler's part of the policy."""
        return FairnessPolicy(
            self.prefix_slack, self.zone_slack, self.reserve, self.credit_limit
        )


class Bundle(msgspec.Struct, forbid_unknown_fields=True):
    """The complete configuration, as operators write it."""

    operators: dict[str, Operator] = {}
    workspaces: dict[str, Workspace] = {}
    services: dict[str, Service] = {}
    rules: dict[str, Rule] = {}
    policy: Policy = Policy()


_ROW_TYPES = {
    "operators": Operator,
    "workspaces": Workspace,
    "services": Service,
    "rules": Rule,
}
POLICY_ROW = "policy"

Rows = dict[str, Any]
"""Bundle rows by path, such as "workspaces/shop"; changes apply per row."""


def to_rows(bundle: Bundle) -> Rows:
    """Returns a bundle as plain rows by path."""
    rows: Rows = {POLICY_ROW: bundle.policy}
    for section in _ROW_TYPES:
        for name, value in getattr(bundle, section).items():
            rows[f"{section}/{name}"] = value
    return msgspec.json.decode(msgspec.json.encode(rows))


def row_value(path: str, raw: Any) -> Any:
    """Decodes a row into its type.

    Args:
        path: The row's path.
        raw: The row as built-in values or as `msgspec.Raw` JSON.

    Raises:
        ValueError: The path or the value is invalid.
    """
    section, _, name = path.partition("/")
    row_type = Policy if path == POLICY_ROW else _ROW_TYPES.get(section)
    if row_type is None or (path != POLICY_ROW and not name):
        sections = ", ".join(_ROW_TYPES)
        raise ValueError(f"{path}: no such section; use one of: {sections}")
    try:
        if isinstance(raw, msgspec.Raw):
            return msgspec.json.decode(raw, type=row_type)
        return msgspec.convert(raw, row_type)
    except msgspec.ValidationError as error:
        raise ValueError(f"{path}: {error}; correct the value") from error


def value_problems(rows: Rows) -> Iterator[str]:
    """Yields the errors of the values in rows that an operator sends.

    Replicas don't check this again when they apply the log: those of earlier
    releases have accepted more, and all must come to the same bundle.
    """
    for path, raw in rows.items():
        try:
            value = row_value(path, raw)
        except ValueError as error:
            yield str(error)
            continue
        section, _, name = path.partition("/")
        yield from text_problems(
            f"{section}: the name", name, limit=MAX_NAME_CHARS
        )
        yield from value.problems(path)


def parse_bundle(raw: Any) -> Result[Bundle, str]:
    """Decodes a bundle from built-in values and validates it."""
    try:
        bundle = msgspec.convert(raw, Bundle)
    except msgspec.ValidationError as error:
        return Err(f"{error}; correct the value or remove the key")
    rows = to_rows(bundle)
    problem = next(value_problems(rows), None)
    if problem is None:
        view = BundleView()
        view.install(0, "", rows)
        problem = next(view.problems(rows), None)
    return Err(problem) if problem else Ok(bundle)


def row_hash(path: str, raw: Any) -> int:
    """Returns a row's term in the content digest."""
    data = digest(path.encode(), canonical_bytes(raw))
    return int(data, 16)


class OwnerIndex:
    """Maps keys to the rows that own them.

    A key has several owners only while an invalid change is being checked.
    """

    def __init__(self):
        self.owner: dict[str, str] = {}
        self.other_owners: dict[str, list[str]] = {}

    def add(self, key: str, name: str) -> None:
        """Adds an owner of a key."""
        if key in self.owner:
            self.other_owners.setdefault(key, []).append(name)
        else:
            self.owner[key] = name

    def remove(self, key: str, name: str) -> None:
        """Removes an owner of a key."""
        others = self.other_owners.get(key, [])
        if name in others:
            others.remove(name)
        elif others:
            self.owner[key] = others.pop(0)
        else:
            del self.owner[key]
        if not others:
            self.other_owners.pop(key, None)

    def get(self, key: str) -> str | None:
        """Returns the first owner of a key, or None."""
        return self.owner.get(key)

    def is_shared(self, key: str) -> bool:
        """Returns whether a key has more than one owner."""
        return key in self.other_owners


class BundleView:
    """A bundle in use: typed rows and indexes over them.

    Applying a change takes time proportional to the change: the content
    digest is a sum of row hashes, and the indexes are updated row by row.

    Attributes:
        keeps_rows: Whether to keep the plain rows and their digest. Only
            control hosts need them; routers save the memory.
        keeps_api_keys: Whether to keep the workspaces' API keys and services.
            Entries need them; agents only need the shares.
    """

    def __init__(self, keeps_rows: bool = True, keeps_api_keys: bool = True):
        self.keeps_rows = keeps_rows
        self.keeps_api_keys = keeps_api_keys
        self.version = 0
        self.chain = ""
        self.rows: Rows = {}
        self.digest_sum = 0
        self.operators: dict[str, Operator] = {}
        self.workspaces: dict[str, Workspace] = {}
        self.services: dict[str, Service] = {}
        self.rules: dict[str, Rule] = {}
        self.policy = Policy()
        self.workspace_of_key = OwnerIndex()
        self.service_of_model = OwnerIndex()
        self.rules_of_service: dict[str, list[Rule]] = {}

    def install(self, version: int, chain: str, rows: Rows) -> None:
        """Replaces the contents with a snapshot."""
        self.__init__(self.keeps_rows, self.keeps_api_keys)
        self.apply(rows, [])
        self.version = version
        self.chain = chain

    def apply(self, put: Rows, remove: list[str]) -> None:
        """Applies a change to the rows without validating it.

        Raises:
            ValueError: A path or a value in `put` is invalid.
        """
        for path in remove:
            self._remove_row(path)
        for path, raw in put.items():
            self._remove_row(path)
            self._put_row(path, raw)

    def _put_row(self, path: str, raw: Any) -> None:
        if self.keeps_rows:
            self.rows[path] = raw
            self._add_to_digest(row_hash(path, raw))
        value = row_value(path, raw)
        if path == POLICY_ROW:
            self.policy = value
            return
        if isinstance(value, Workspace):
            value = self._reduce_workspace(value)
        section, _, name = path.partition("/")
        getattr(self, section)[name] = value
        if isinstance(value, Workspace):
            for key_hash in value.key_hashes:
                self.workspace_of_key.add(key_hash, name)
        elif isinstance(value, Service):
            for model in value.models:
                self.service_of_model.add(model, name)
        elif isinstance(value, Rule):
            rules = self.rules_of_service.setdefault(value.service, [])
            rules.append(value)
            rules.sort(key=lambda rule: -len(rule.path))

    def _reduce_workspace(self, value: Workspace) -> Workspace:
        """Drops unneeded fields and interns service names to save memory."""
        if not self.keeps_api_keys:
            return msgspec.structs.replace(value, services=(), key_hashes=())
        services = tuple(sys.intern(name) for name in value.services)
        return msgspec.structs.replace(value, services=services)

    def _remove_row(self, path: str) -> None:
        raw = self.rows.pop(path, None)
        if raw is not None:
            self._add_to_digest(-row_hash(path, raw))
        if path == POLICY_ROW:
            self.policy = Policy()
            return
        section, _, name = path.partition("/")
        value = getattr(self, section).pop(name, None)
        if isinstance(value, Workspace):
            for key_hash in value.key_hashes:
                self.workspace_of_key.remove(key_hash, name)
        elif isinstance(value, Service):
            for model in value.models:
                self.service_of_model.remove(model, name)
        elif isinstance(value, Rule):
            self.rules_of_service[value.service].remove(value)

    def _add_to_digest(self, amount: int) -> None:
        self.digest_sum = (self.digest_sum + amount) % (1 << _DIGEST_BITS)

    @property
    def content_digest(self) -> str:
        """The digest of all rows, independent of their history, in hex."""
        return f"{self.digest_sum:064x}"

    def rule_for(self, service: str, method: str, path: str) -> Rule:
        """Returns the rule with the longest matching prefix.

        Without a matching rule a request is treated as not repeatable,
        because repeating one that has side effects is unsafe.
        """
        for rule in self.rules_of_service.get(service, []):
            if path.startswith(rule.path):
                if not rule.methods or method in rule.methods:
                    return rule
        return Rule(service)

    # Validation.

    def problems(self, put: Rows) -> Iterator[str]:
        """Yields the problems of rows that have just been applied."""
        for path, raw in put.items():
            value = row_value(path, raw)
            if isinstance(value, Workspace):
                yield from self._workspace_problems(path, value)
            elif isinstance(value, Service):
                yield from self._service_problems(path, value)
            elif isinstance(value, Rule):
                yield from self._rule_problems(path, value)
            elif isinstance(value, Operator):
                yield from _operator_problems(path, value)
            elif isinstance(value, Policy):
                yield from _policy_problems(value)
        approvers = [
            o for o in self.operators.values() if "approver" in o.roles
        ]
        if len(approvers) < MIN_APPROVERS:
            yield (
                f"operators: {len(approvers)} approver(s); name at least "
                f"{MIN_APPROVERS}, otherwise no change can be approved"
            )

    def removal_problems(self, remove: list[str]) -> Iterator[str]:
        """Yields the dangling references left by removed services."""
        removed_services = {
            path.partition("/")[2]
            for path in remove
            if path.startswith("services/") and path not in self.rows
        }
        if not removed_services:
            return
        for name, workspace in self.workspaces.items():
            for service in removed_services.intersection(workspace.services):
                yield (
                    f"workspaces/{name}: service {service!r} is removed; "
                    "remove it from the workspace first"
                )
        for name, rule in self.rules.items():
            if rule.service in removed_services:
                yield f"rules/{name}: its service is removed; remove the rule"

    def _workspace_problems(self, path: str, value: Workspace) -> Iterator[str]:
        if not 0 < value.share < float("inf"):
            yield f"{path}.share: {value.share} must be a number above 0"
        if value.max_waiting < 1 or value.max_waiting_bytes < 1:
            yield (
                f"{path}: max_waiting and max_waiting_bytes must be at least 1"
            )
        for service in value.services:
            if service not in self.services:
                yield (
                    f"{path}.services: {service!r} is unknown; add the "
                    "service or remove it here"
                )
        for key_hash in value.key_hashes:
            if len(key_hash) != KEY_HASH_HEX_DIGITS:
                yield (
                    f"{path}.key_hashes: {key_hash!r} is not a SHA-256 hash "
                    "in hex"
                )
            elif self.workspace_of_key.is_shared(key_hash):
                yield (
                    f"{path}.key_hashes: another workspace has the same key; "
                    "create a new one with `marjoramctl key api`"
                )

    def _service_problems(self, path: str, value: Service) -> Iterator[str]:
        if value.kind not in ("engine", "plain"):
            yield f"{path}.kind: {value.kind!r}; use engine or plain"
        if min(value.stall_seconds, value.deadline_seconds) <= 0:
            yield f"{path}: stall_seconds and deadline_seconds must be above 0"
        for model in value.models:
            if self.service_of_model.is_shared(model):
                yield f"{path}.models: {model!r} belongs to another service"

    def _rule_problems(self, path: str, value: Rule) -> Iterator[str]:
        if value.service not in self.services:
            yield f"{path}.service: {value.service!r} is unknown; add it"
        if not value.path.startswith("/"):
            yield f"{path}.path: {value.path!r} must begin with /"
        if value.request_class not in [k.value for k in RequestClass]:
            yield f"{path}.request_class: use interactive or deferrable"


def _operator_problems(path: str, value: Operator) -> Iterator[str]:
    try:
        valid = len(bytes.fromhex(value.public_key)) == 32
    except ValueError:
        valid = False
    if not valid:
        yield f"{path}.public_key: not an Ed25519 key of 64 hex digits"


def _policy_problems(value: Policy) -> Iterator[str]:
    for name in value.__struct_fields__:
        if getattr(value, name) < 0:
            yield f"policy.{name}: must not be negative"
    if value.ledger_capacity < 1:
        yield "policy.ledger_capacity: must be at least 1"
