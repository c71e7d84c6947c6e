"""Settings files: YAML validated against typed structs with defaults."""

import re
from pathlib import Path
from typing import Any, ClassVar

import msgspec
import yaml
from result import Err, Ok, Result

from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.util.addresses import parse_address

ROLE_SETTINGS: Registry[type["RoleSettings"]] = Registry("role")
"""The settings type of each role, registered by the role plug-ins."""


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Log settings.

    Attributes:
        format: `json` for JSON lines; any other value for readable lines.
        level: The lowest level that is logged.
    """

    format: str = "console"
    level: str = "info"


class RoleSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings common to all roles.

    Attributes:
        role: The role that the process runs, as registered by a plug-in.
        name: The host name, unique in the fleet.
        zone: The availability zone of the host.
        internal: Listening address for other processes of the fleet.
        control_hosts: Internal addresses of the control hosts.
        secret_file: File with the secret shared by the fleet's processes.
        log: Log format and level.
        drain_seconds: Maximum duration of a graceful shutdown, in seconds.
        region: The region of the zone.
        advertised: Address at which others reach `internal`, if it differs.
        trust_network: Whether processes of the fleet accept each other's
            calls without the shared secret; only for isolated networks.
        extensions: Dotted names of modules with further plug-ins.
        memory_mb: The memory of the process; 0 or None if not limited.
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
    memory_mb: float | None = None

    changeable: ClassVar[tuple[str, ...]] = ()
    """The keys that can change without a restart."""

    @property
    def stop_seconds(self) -> float:
        """The seconds from the signal to stop to the end of the process."""
        return self.drain_seconds

    @property
    def stored_bytes(self) -> int:
        """The bytes of memory that the role's own state may take."""
        return 0

    @property
    def advertised_address(self) -> str:
        """The address at which other processes reach this one."""
        return self.advertised or self.internal

    def apply_changes(self, newer: "RoleSettings") -> list[str]:
        """Applies the changeable keys of `newer`; returns the changed ones.

        All other settings, such as addresses and folders, need a restart.
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
        """Returns the settings that must be valid addresses, by key."""
        addresses = {"internal": self.internal}
        if self.advertised:
            addresses["advertised"] = self.advertised
        for index, text in enumerate(self.control_hosts):
            addresses[f"control_hosts[{index}]"] = text
        return addresses

    def problems(self) -> list[str]:
        """Returns messages on invalid values, each beginning with its key.

        Types are checked before, when the file is decoded.
        """
        problems = []
        for key in ("name", "zone"):
            if not getattr(self, key).strip():
                problems.append(f"{key}: must not be empty; give the {key}")
        for key, text in self.addresses().items():
            try:
                parse_address(text)
            except ValueError as error:
                problems.append(f"{key}: {error}")
        if not self.secret_file and not self.trust_network:
            problems.append(
                "secret_file: name the file with the fleet's secret, or set "
                "trust_network"
            )
        if not self.control_hosts and not getattr(self, "seeds", None):
            problems.append("control_hosts: name at least one control host")
        if self.drain_seconds <= 0:
            problems.append("drain_seconds: must be above 0")
        if self.memory_mb is not None and self.memory_mb < 0:
            problems.append("memory_mb: must not be negative")
        return problems


def _line_of(text: str, path: str) -> int | None:
    """Returns the line of the value at `path`, or of its nearest parent."""
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
    """Returns a message with a remedy, and the path of the value."""
    message = str(error)
    location = re.search(r" - at `(.+?)`", message)
    path = location.group(1) if location else "$"
    message = re.sub(r" - at `.+?`", "", message)
    unknown = re.search(r"unknown field `(.+?)`", message)
    missing = re.search(r"missing required field `(.+?)`", message)
    if unknown:
        path = f"{path}.{unknown.group(1)}"
        return f"unknown key {path[2:]!r}; remove it or correct its name", path
    if missing:
        key = f"{path}.{missing.group(1)}"
        return f"missing key {key[2:]!r}; add it", path
    return f"key {path[2:]!r}: {message}; correct the value", path


def parse_settings(source: str, text: str) -> Result[RoleSettings, str]:
    """Parses and validates settings; errors name key, line and remedy.

    Args:
        source: The file name, for error messages.
        text: The YAML text.
    """
    try:
        raw: Any = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        return Err(f"{source}: not valid YAML; correct it: {error}")
    if not isinstance(raw, dict):
        return Err(f"{source}: must be a mapping of keys to values")
    role = raw.get("role")
    if not isinstance(role, str) or role not in ROLE_SETTINGS.items:
        known = ", ".join(ROLE_SETTINGS)
        problem = f"key 'role': {role!r} is unknown; use one of: {known}"
        return Err(_with_line(source, text, problem, "$.role"))
    try:
        settings = msgspec.convert(raw, ROLE_SETTINGS.get(role))
    except msgspec.ValidationError as error:
        problem, path = _explain(error)
        return Err(_with_line(source, text, problem, path))
    except UnicodeEncodeError as error:
        return Err(f"{source}: half of a character; correct it: {error}")
    problems = settings.problems()
    if problems:
        key = problems[0].split(":")[0]
        return Err(_with_line(source, text, f"key {problems[0]}", key))
    return Ok(settings)


def load_settings(path: Path) -> Result[RoleSettings, str]:
    """Reads and validates a settings file.

    Relative paths in it are relative to the folder of the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Err(f"{path}: can't be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return Err(f"{path}: not UTF-8; correct byte {error.start}")
    loaded = parse_settings(str(path), text)
    if isinstance(loaded, Ok):
        settings = loaded.ok_value
        for key in settings.__struct_fields__:
            if key.endswith(("_file", "_folder")) and getattr(settings, key):
                setattr(
                    settings, key, str(path.parent / getattr(settings, key))
                )
    return loaded
