"""Reads the deploy file, renders its templates and translates names."""

import json
import pathlib
import re
import tomllib

_TAG = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")
_MISSING = object()


class Wire:
    """The names that the project has chosen for bodies, settings and calls."""

    def __init__(self, root: pathlib.Path):
        data = tomllib.loads((root / "deploy/wire.toml").read_text())
        self._fields = data.get("fields", {})
        self._words = data.get("words", {})
        self._calls = data.get("calls", {})

    def body(self, value):
        """Returns a body with its fields and words translated."""
        if isinstance(value, dict):
            return {
                self._fields.get(k, k): self._value(k, v)
                for k, v in value.items()
            }
        if isinstance(value, list):
            return [self.body(entry) for entry in value]
        return value

    def _value(self, key, value):
        if key == "route_kind":
            return self._words.get(value, value)
        return self.body(value)

    def call(self, method: str, path: str, argument: str) -> tuple[str, str]:
        """Returns the method and path of a call, with its argument."""
        own = self._calls.get(f"{method} {path}", f"{method} {path}")
        method, path = own.split(" ", 1)
        return method, path.replace("{}", argument)


def _look_up(name, stack):
    if name == ".":
        return stack[-1][1]
    for _, scope in reversed(stack):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif (
                isinstance(value, list)
                and part.isdigit()
                and int(part) < len(value)
            ):
                value = value[int(part)]
            else:
                value = _MISSING
                break
        if value is not _MISSING:
            return value
    return None


def _plain(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_plain(entry) for entry in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return json.dumps(value, separators=(",", ":"))
    return str(value)


def _entries(value):
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return list(enumerate(value))
    return [] if value is None or value is False else [("", value)]


def _section_end(text, start, name):
    depth = 1
    for match in _TAG.finditer(text, start):
        if match[2] == name and match[1]:
            depth += -1 if match[1] == "/" else 1
            if not depth:
                return match
    raise ValueError(f"section {name} has no end")


def render(text: str, stack) -> str:
    """Fills in a template; `stack` holds pairs of key and scope."""
    out, position = [], 0
    while match := _TAG.search(text, position):
        out.append(text[position : match.start()])
        position = match.end()
        sort, name, as_json = match.groups()
        if sort in ("#", "^"):
            end = _section_end(text, position, name)
            inner = text[position : end.start()]
            position = end.end()
            entries = _entries(_look_up(name, stack))
            if sort == "^":
                out.append("" if entries else render(inner, stack))
                continue
            for number, entry in enumerate(entries):
                comma = "," if number < len(entries) - 1 else ""
                out.append(
                    render(inner.replace("{{,}}", comma), [*stack, entry])
                )
        elif name == "@":
            out.append(str(stack[-1][0]))
        else:
            value = _look_up(name, stack)
            out.append(
                json.dumps(value, separators=(",", ":"))
                if as_json
                else _plain(value)
            )
    return "".join([*out, text[position:]])


def read_roles(root: pathlib.Path) -> dict:
    """Returns the roles of the deploy file by name."""
    return tomllib.loads((root / "deploy/system.toml").read_text())["roles"]
