"""Validation of settings; errors name the key, the line and the remedy."""

from pathlib import Path

import pytest
import yaml

import marjoramyard.fleet.settings  # noqa: F401
from marjoramyard.coordination.governance.bundle import parse_bundle
from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.settings import load_settings, parse_settings

ROOT = Path(__file__).parents[3]
VALID_SETTINGS = """\
role: entry
name: entry-1
zone: zone-a
listen: 127.0.0.1:8080
internal: 127.0.0.1:9101
control_hosts: [127.0.0.1:9001]
secret_file: secret
"""


@pytest.mark.parametrize("role", ["control", "entry", "agent"])
def test_the_annotated_examples_are_valid(role):
    loaded = load_settings(ROOT / f"examples/settings/{role}.yaml")
    assert loaded.is_ok(), loaded
    assert loaded.ok().role == role


@pytest.mark.parametrize("name", ["teranga", "luzaberta"])
def test_the_example_deployments_are_valid(name):
    folder = ROOT / "examples" / name
    paths = sorted((folder / "settings").glob("*.yaml"))
    loaded = [load_settings(path) for path in paths]
    assert all(result.is_ok() for result in loaded), loaded
    names = [result.ok().name for result in loaded]
    assert len(set(names)) == len(names) >= 14
    bundle = yaml.safe_load((folder / "bundle.yaml").read_text())
    assert parse_bundle(bundle).is_ok()


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("zone: zone-a", "zone: zone-a\nzoone: x", ["x.yaml:4", "'zoone'"]),
        ("zone: zone-a\n", "", ["'zone'", "add it"]),
        ("zone: zone-a", 'zone: " "', ["x.yaml:3", "zone", "empty"]),
        ("8080", "80800", ["x.yaml:4", "listen", "out of range"]),
        ("127.0.0.1:8080", "localhost", ["x.yaml:4", "IP:PORT"]),
        ("[127.0.0.1:9001]", "[nope]", ["x.yaml:6", "control_hosts[0]"]),
        ("[127.0.0.1:9001]", "[]", ["at least one"]),
        ("[127.0.0.1:9001]", "7", ["x.yaml:6", "control_hosts", "array"]),
        ("role: entry", "role: door", ["x.yaml:1", "agent, control, entry"]),
        ("role: entry", "role: [", ["not valid YAML"]),
        (VALID_SETTINGS, "- 1", ["mapping"]),
    ],
)
def test_an_invalid_setting_gives_an_error_with_its_location(
    old, new, expected
):
    error = parse_settings("x.yaml", VALID_SETTINGS.replace(old, new)).err()
    for part in expected:
        assert part in error, error
    assert "\n" not in error or "YAML" in error


def test_the_error_on_a_missing_file_names_it():
    assert "no-such.yaml" in load_settings(Path("no-such.yaml")).err()


def test_relative_paths_start_at_the_folder_of_the_settings_file(tmp_path):
    path = tmp_path / "x.yaml"
    path.write_text(VALID_SETTINGS)
    loaded = load_settings(path).ok()
    assert loaded.secret_file == str(tmp_path / "secret")


def test_registry_errors_list_the_known_names():
    registry = Registry("colour")
    registry.register("red")("r")
    with pytest.raises(KeyError, match="use one of: red"):
        registry.get("blue")
    with pytest.raises(ValueError, match="twice"):
        registry.register("red")("s")
