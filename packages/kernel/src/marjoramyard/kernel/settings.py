"""Settings files: YAML checked against declared types and defaults."""

import re
from pathlib import Path
from typing import Any, ClassVar

import msgspec
import yaml
from result import Err, Ok, Result

from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.util.addresses import parse_address

ROLE_SETTINGS: Registry[type["RoleSettings"]] = Registry("role")
"""The settings type of each role; role plug-ins fill it."""


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """How the process logs."""

    format: str = "console"
    level: str = "info"


class RoleSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What every role's settings file says.

    Attributes:
        role: The plug-in that the process runs.
        name: The host name, unique in the fleet.
        zone: The availability zone the host stands in.
        internal: Address for other processes of the fleet.
        control_hosts: Internal addresses of the control hosts.
        secret_file: File with the secret that the fleet's processes share.
        drain_seconds: How long a graceful shutdown may take.
        region: The region of the zone.
        advertised: Where others reach `internal`, if not there itself.
        trust_network: Processes of the fleet know each other by address
            only; for networks that nobody else can reach.
        extensions: Modules that register more, by their dotted names.
    """

    role: str
    name: str
    zone: str
    internal: str
    control_hosts: list[str] = []
    secret_file: str = ""
    region: str = ""
    advertised: str = ""
    log: LogSettings = msgspec.field(default_factory=LogSettings)
    drain_seconds: float = 600.0
    trust_network: bool = False
    extensions: list[str] = []

    changeable: ClassVar[tuple[str, ...]] = ()
    """The keys whose new values a running process takes over."""

    @property
    def advertised_address(self) -> str:
        """The address that other processes are told."""
        return self.advertised or self.internal

    def apply_changes(self, newer: "RoleSettings") -> list[str]:
        """Takes what may change in a running process; returns its keys.

        Addresses and folders stay as they are until a restart.
        """
        changed = [
            key
            for key in self.changeable
            if getattr(self, key) != getattr(newer, key)
        ]
        for key in changed:
            setattr(self, key, getattr(newer, key))
        return changed

    def addresses(self) -> dict[str, str]:
        """Returns each setting that must be an address, by its key."""
        found = {"internal": self.internal}
        if self.advertised:
            found["advertised"] = self.advertised
        for place, text in enumerate(self.control_hosts):
            found[f"control_hosts[{place}]"] = text
        return found

    def problems(self) -> list[str]:
        """Returns what is wrong beyond types, each naming its key."""
        found = []
        for key in ("name", "zone"):
            if not getattr(self, key).strip():
                found.append(f"{key}: must not be empty; give the {key}")
        for key, text in self.addresses().items():
            try:
                parse_address(text)
            except ValueError as error:
                found.append(f"{key}: {error}")
        if not self.secret_file and not self.trust_network:
            found.append(
                "secret_file: name the file with the fleet's secret, or set "
                "trust_network"
            )
        if not self.control_hosts and not getattr(self, "seeds", None):
            found.append("control_hosts: name at least one control host")
        if self.drain_seconds <= 0:
            found.append("drain_seconds: must be above 0")
        return found


def _line_of(text: str, path: str) -> int | None:
    """Returns the line on which the value at `path` stands, if it does."""
    node = yaml.compose(text)
    line = None
    for part in re.findall(r"[^.$\[\]]+", path):
        line = node.start_mark.line + 1 if node is not None else line
        if isinstance(node, yaml.MappingNode):
            match = [(k, v) for k, v in node.value if k.value == part]
            if not match:
                return line
            line = match[0][0].start_mark.line + 1
            node = match[0][1]
        elif isinstance(node, yaml.SequenceNode) and part.isdigit():
            node = node.value[int(part)]
            line = node.start_mark.line + 1
    return line


def _with_line(source: str, text: str, problem: str, path: str) -> str:
    line = _line_of(text, path)
    where = f"{source}:{line}" if line else source
    return f"{where}: {problem}"


def _explain(error: msgspec.ValidationError) -> tuple[str, str]:
    """Returns a clear message with a remedy, and the path it is about."""
    message = str(error)
    found = re.search(r" - at `(.+?)`", message)
    path = found.group(1) if found else "$"
    message = re.sub(r" - at `.+?`", "", message)
    unknown = re.search(r"unknown field `(.+?)`", message)
    missing = re.search(r"missing required field `(.+?)`", message)
    if unknown:
        path = f"{path}.{unknown.group(1)}"
        return f"unknown key {path[2:]!r}; remove it or mend its name", path
    if missing:
        key = f"{path}.{missing.group(1)}"
        return f"missing key {key[2:]!r}; add it", path
    return f"key {path[2:]!r}: {message}; mend the value", path


def parse_settings(source: str, text: str) -> Result[RoleSettings, str]:
    """Checks one settings text; the error names key, line and remedy."""
    try:
        raw: Any = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err(f"{source}: not valid YAML; mend it: {error}")
    if not isinstance(raw, dict):
        return Err(f"{source}: must be a mapping of keys to values")
    role = raw.get("role")
    if role not in ROLE_SETTINGS.items:
        known = ", ".join(ROLE_SETTINGS)
        problem = f"key 'role': {role!r} is unknown; use one of: {known}"
        return Err(_with_line(source, text, problem, "$.role"))
    try:
        settings = msgspec.convert(raw, ROLE_SETTINGS.get(role))
    except msgspec.ValidationError as error:
        problem, path = _explain(error)
        return Err(_with_line(source, text, problem, path))
    problems = settings.problems()
    if problems:
        key = problems[0].split(":")[0]
        return Err(_with_line(source, text, f"key {problems[0]}", key))
    return Ok(settings)


def load_settings(path: Path) -> Result[RoleSettings, str]:
    """Reads and checks a settings file; its paths are beside the file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Err(f"{path}: can't be read; {error.strerror}")
    loaded = parse_settings(str(path), text)
    if isinstance(loaded, Ok):
        settings = loaded.ok_value
        for key in settings.__struct_fields__:
            if key.endswith(("_file", "_folder")) and getattr(settings, key):
                setattr(
                    settings, key, str(path.parent / getattr(settings, key))
                )
    return loaded
