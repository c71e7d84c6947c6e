"""The bundle of configuration: its rows, their types and their checks."""

import sys
from collections.abc import Iterator
from typing import Any

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.fairness.scheduler import FairnessPolicy
from marjoramyard.coordination.serving.request_queues import RequestClass
from marjoramyard.kernel.util.canonical import canonical_bytes, digest

KEY_HASH_LENGTH = 64
MIN_APPROVERS = 2
_DIGEST_BITS = 256


class Workspace(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, gc=False
):
    """A customer's workspace.

    Attributes:
        share: Its weight; service is shared in proportion to it.
        services: What it may reach.
        key_hashes: SHA-256 of its API keys, in hex.
        max_waiting: Requests that may wait at one entry.
        max_waiting_bytes: Bytes that these may hold.
    """

    share: float
    services: tuple[str, ...]
    key_hashes: tuple[str, ...]
    max_waiting: int = 1000
    max_waiting_bytes: int = 64 << 20


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A kind of endpoint that requests are routed to.

    Attributes:
        kind: "engine" for model engines, "plain" for other services.
        models: Names in a chat request that mean this engine service.
        stall_seconds: The longest silence within an answer.
        deadline_seconds: The deadline of a request that names none.
        max_deadline_seconds: The longest deadline that may be named.
        max_body_bytes: The largest body.
    """

    kind: str
    models: list[str] = []
    stall_seconds: float = 20.0
    deadline_seconds: float = 60.0
    max_deadline_seconds: float = 900.0
    max_body_bytes: int = 4 << 20


class Rule(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What holds for requests of a service under a path prefix.

    The rule with the longest matching prefix applies.
    """

    service: str
    path: str = "/"
    methods: list[str] = []
    repeatable: bool = False
    request_class: str = RequestClass.INTERACTIVE.value


class Operator(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Somebody who may change the bundle; the key is Ed25519, in hex."""

    public_key: str
    roles: tuple[str, ...] = ("author", "approver")


class Policy(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Knobs of the whole fleet."""

    prefix_slack: float = 0.0
    zone_slack: float = 0.0
    reserve: float = 0.5
    totals_step: float = 0.0
    credit_limit: float = 1_000_000.0
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    quarantine_seconds: float = 600.0
    ledger_capacity: int = 100_000

    def fairness(self) -> FairnessPolicy:
        """Returns the part that the scheduler needs."""
        return FairnessPolicy(
            self.prefix_slack, self.zone_slack, self.reserve, self.credit_limit
        )


class Bundle(msgspec.Struct, forbid_unknown_fields=True):
    """The whole configuration, as operators write it."""

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
"""The bundle as rows by path, such as "workspaces/shop": what changes."""


def to_rows(bundle: Bundle) -> Rows:
    """Flattens a bundle into its rows."""
    rows: Rows = {POLICY_ROW: bundle.policy}
    for section in _ROW_TYPES:
        for name, value in getattr(bundle, section).items():
            rows[f"{section}/{name}"] = value
    return msgspec.json.decode(msgspec.json.encode(rows))


def row_value(path: str, raw: Any) -> Any:
    """Returns a row's typed value; `raw` is plain values or raw JSON.

    Raises:
        ValueError: The path or the value is wrong; says which and how.
    """
    section, _, name = path.partition("/")
    kind = Policy if path == POLICY_ROW else _ROW_TYPES.get(section)
    if kind is None or (path != POLICY_ROW and not name):
        sections = ", ".join(_ROW_TYPES)
        raise ValueError(f"{path}: no such section; use one of: {sections}")
    try:
        if isinstance(raw, msgspec.Raw):
            return msgspec.json.decode(raw, type=kind)
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise ValueError(f"{path}: {error}; mend the value") from error


def parse_bundle(raw: Any) -> Result[Bundle, str]:
    """Reads a bundle from plain values and checks all of it."""
    try:
        bundle = msgspec.convert(raw, Bundle)
    except msgspec.ValidationError as error:
        return Err(f"{error}; mend the value or remove the key")
    view = BundleView()
    view.install(0, "", to_rows(bundle))
    problem = next(view.problems(to_rows(bundle)), None)
    return Err(problem) if problem else Ok(bundle)


def row_hash(path: str, raw: Any) -> int:
    """Returns a row's part of the content digest."""
    data = digest(path.encode(), canonical_bytes(raw))
    return int(data, 16)


class Owners:
    """Who names a key; while a change is on trial, several may."""

    def __init__(self):
        self.owner: dict[str, str] = {}
        self.others: dict[str, list[str]] = {}

    def add(self, key: str, name: str) -> None:
        """Notes that `name` names the key."""
        if key in self.owner:
            self.others.setdefault(key, []).append(name)
        else:
            self.owner[key] = name

    def remove(self, key: str, name: str) -> None:
        """Notes that `name` names the key no longer."""
        others = self.others.get(key, [])
        if name in others:
            others.remove(name)
        elif others:
            self.owner[key] = others.pop(0)
        else:
            del self.owner[key]
        if not others:
            self.others.pop(key, None)

    def get(self, key: str) -> str | None:
        """Returns the owner, if there is one."""
        return self.owner.get(key)

    def is_shared(self, key: str) -> bool:
        """Returns whether more than one name the key."""
        return key in self.others


class BundleView:
    """A bundle in use: typed rows, with what is looked up by another key.

    Applying a change costs in proportion to the change: the content digest
    is a sum of row hashes, and look-ups are kept up to date row by row.

    Attributes:
        keeps_rows: Keeps the plain rows and their digest too, as a control
            host must. A router has no use for them, and with 24,000
            workspaces they would take it past its memory.
        keeps_keys: Keeps the workspaces' API keys and services, as an
            entry must; an agent only needs their shares.
    """

    def __init__(self, keeps_rows: bool = True, keeps_keys: bool = True):
        self.keeps_rows = keeps_rows
        self.keeps_keys = keeps_keys
        self.version = 0
        self.chain = ""
        self.rows: Rows = {}
        self.content = 0
        self.operators: dict[str, Operator] = {}
        self.workspaces: dict[str, Workspace] = {}
        self.services: dict[str, Service] = {}
        self.rules: dict[str, Rule] = {}
        self.policy = Policy()
        self.workspace_of_key = Owners()
        self.service_of_model = Owners()
        self.rules_of_service: dict[str, list[Rule]] = {}

    def install(self, version: int, chain: str, rows: Rows) -> None:
        """Replaces everything by a snapshot."""
        self.__init__(self.keeps_rows, self.keeps_keys)
        self.apply(rows, [])
        self.version = version
        self.chain = chain

    def apply(self, put: Rows, remove: list[str]) -> None:
        """Applies a change that was checked."""
        for path in remove:
            self._drop(path)
        for path, raw in put.items():
            self._drop(path)
            self._put(path, raw)

    def _put(self, path: str, raw: Any) -> None:
        if self.keeps_rows:
            self.rows[path] = raw
            self._add_content(row_hash(path, raw))
        value = row_value(path, raw)
        if path == POLICY_ROW:
            self.policy = value
            return
        if isinstance(value, Workspace):
            value = self._compact(value)
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

    def _compact(self, value: Workspace) -> Workspace:
        """Leaves out what is not used here and shares equal strings."""
        if not self.keeps_keys:
            return msgspec.structs.replace(value, services=(), key_hashes=())
        services = tuple(sys.intern(name) for name in value.services)
        return msgspec.structs.replace(value, services=services)

    def _drop(self, path: str) -> None:
        raw = self.rows.pop(path, None)
        if raw is not None:
            self._add_content(-row_hash(path, raw))
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

    def _add_content(self, amount: int) -> None:
        self.content = (self.content + amount) % (1 << _DIGEST_BITS)

    @property
    def content_digest(self) -> str:
        """A digest of all rows, whatever changes led to them."""
        return f"{self.content:064x}"

    def rule_for(self, service: str, method: str, path: str) -> Rule:
        """Returns the rule with the longest matching prefix.

        What no rule names may not be repeated: repeating by mistake charges
        a card twice, not repeating by mistake only asks for a key.
        """
        for rule in self.rules_of_service.get(service, []):
            if path.startswith(rule.path):
                if not rule.methods or method in rule.methods:
                    return rule
        return Rule(service)

    # Checks.

    def problems(self, put: Rows) -> Iterator[str]:
        """Yields what is wrong with rows that were just applied."""
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
                f"{MIN_APPROVERS}, or no change could be approved any more"
            )

    def removal_problems(self, remove: list[str]) -> Iterator[str]:
        """Yields references that a removal leaves dangling."""
        gone = {
            path.partition("/")[2]
            for path in remove
            if path.startswith("services/") and path not in self.rows
        }
        if not gone:
            return
        for name, workspace in self.workspaces.items():
            for service in gone.intersection(workspace.services):
                yield (
                    f"workspaces/{name}: service {service!r} is removed; "
                    "take it from the workspace first"
                )
        for name, rule in self.rules.items():
            if rule.service in gone:
                yield f"rules/{name}: its service is removed; remove the rule"

    def _workspace_problems(self, path: str, value: Workspace) -> Iterator[str]:
        if not 0 < value.share < float("inf"):
            yield f"{path}.share: {value.share} must be a number above 0"
        if value.max_waiting < 1 or value.max_waiting_bytes < 1:
            yield f"{path}: waiting limits must be at least 1"
        for service in value.services:
            if service not in self.services:
                yield (
                    f"{path}.services: {service!r} is unknown; add the "
                    "service or remove it here"
                )
        for key_hash in value.key_hashes:
            if len(key_hash) != KEY_HASH_LENGTH:
                yield f"{path}.key_hashes: {key_hash!r} is no SHA-256 in hex"
            elif self.workspace_of_key.is_shared(key_hash):
                yield (
                    f"{path}.key_hashes: another workspace has the same key; "
                    "make a new one with `marjoramctl key api`"
                )

    def _service_problems(self, path: str, value: Service) -> Iterator[str]:
        if value.kind not in ("engine", "plain"):
            yield f"{path}.kind: {value.kind!r}; use engine or plain"
        if min(value.stall_seconds, value.deadline_seconds) <= 0:
            yield f"{path}: limits in seconds must be above 0"
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
