"""Settings files as operators and editors may leave them."""

import json

import pytest
import yaml
from hypothesis import example, given
from hypothesis import strategies as st
from odd_json import odd_bytes

import marjoramyard.fleet.settings  # noqa: F401
from marjoramyard.kernel.settings import load_settings, parse_settings
from marjoramyard.kernel.util.addresses import parse_address

SETTINGS = {
    "role": "control",
    "name": "control-1",
    "zone": "a",
    "internal": "127.0.0.1:9000",
    "operator_listen": "127.0.0.1:80",
    "data_folder": "data",
    "seeds": ["127.0.0.1:80"],
    "log": {"format": "json"},
}


@given(data=odd_bytes(SETTINGS))
@example(data=b"role: " + b"[" * 5000)
@example(data=b"role: {}")
@example(data=b"a: 2026-99-99")
def test_any_text_gives_settings_or_what_to_correct(data):
    """Guards against processes that end at a settings file, when they start
    and when they read it again.
    """
    text = data.decode("utf-8", "replace")
    assert parse_settings("file", text) is not None


@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text() | st.integers(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=9,
    ),
    st.sampled_from(sorted(SETTINGS)),
)
def test_any_value_of_a_key_is_valid_or_has_a_remedy(value, key):
    """Guards against processes that end at a value of another type."""
    text = yaml.safe_dump({**SETTINGS, key: value})
    assert parse_settings("file", text) is not None


@given(text=st.text() | st.text().map("127.0.0.1:{}".format))
@example(text="127.0.0.1:" + "9" * 5000)
@example(text="127.0.0.1:\u00b2")
def test_any_address_has_a_port_or_a_remedy(text):
    """Guards against processes that end at an address of another kind."""
    try:
        address = parse_address(text)
    except ValueError as error:
        assert str(error)
        return
    assert 0 <= address.port <= 65535


@pytest.mark.parametrize("port", ["+80", "8_0", " 80", "\u0668\u0660", ""])
def test_a_port_has_digits_only(port):
    """Guards against ports that only some readers take for a number."""
    with pytest.raises(ValueError, match="not an address"):
        parse_address(f"127.0.0.1:{port}")


@pytest.mark.parametrize(
    "content", [b"\xff", json.dumps(SETTINGS).encode("utf-16")]
)
def test_a_file_that_is_not_text_is_refused(tmp_path, content):
    """Guards against loops that end when the file is read again."""
    path = tmp_path / "settings.yaml"
    path.write_bytes(content)
    assert load_settings(path).is_err()
