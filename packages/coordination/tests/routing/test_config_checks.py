"""Which configurations are valid, field by field."""

import copy
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.routing.config import FleetConfig
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.kernel.util.decoding import decode_json
from marjoramyard.kernel.util.field_checks import (
    MAX_NAME_CHARS,
    MAX_TEXT_CHARS,
)

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "shop.example",
            "path_prefix": "/a/",
            "request_kind": "stream",
            "timeout_ms": 5000,
            "objective_ms": 500,
            "gap_objective_ms": 300,
            "priority": 1,
            "destinations": [
                {"service": "llm", "weight": 90},
                {"service": "api", "weight": 10},
            ],
            "max_attempts": 2,
            "open_access": False,
            "keeps_prefix": True,
            "resumable": True,
        },
        {
            "name": "r-2",
            "hostname": "shop.example",
            "path_prefix": "/b/",
            "request_kind": "idempotent",
            "timeout_ms": 3000,
            "service": "api",
        },
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_connections": 780,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 3.0,
            "cold_per_s": 9.1,
            "engine": {
                "slots": 64,
                "memory_tokens": 235664,
                "token_bytes": 18432,
                "link_mbps": 370000.0,
                "moves": True,
                "models": [{"name": "m"}],
            },
        },
        {"name": "api"},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        "tokens_per_s": 105000,
    },
    "workspaces": [
        {"name": "shop", "api_keys": ["k1", "k2"], "priority": 1},
        {"name": "depot", "api_keys": ["k3"], "priority": 0},
    ],
}
LIMIT = 2**53 - 1
POSITIVE = (
    "routes.0.timeout_ms",
    "routes.0.max_attempts",
    "limits.max_header_bytes",
    "limits.header_timeout_ms",
    "limits.idle_timeout_ms",
)
ZERO_HAS_A_MEANING = (
    "routes.0.objective_ms",
    "routes.0.gap_objective_ms",
    "routes.0.priority",
    "routes.0.destinations.1.weight",
    "services.0.max_connections",
    "services.0.cold_start_s",
    "services.0.cold_per_s",
    "services.0.engine.slots",
    "services.0.engine.memory_tokens",
    "services.0.engine.token_bytes",
    "services.0.engine.link_mbps",
    "limits.max_body_bytes",
    "limits.tokens_per_s",
    "workspaces.0.priority",
)
NUMBERS = POSITIVE + ZERO_HAS_A_MEANING
FRACTIONAL = {
    "timeout_ms",
    "objective_ms",
    "gap_objective_ms",
    "header_timeout_ms",
    "idle_timeout_ms",
    "tokens_per_s",
    "cold_start_s",
    "cold_per_s",
    "token_bytes",
    "link_mbps",
}
REQUIRED_TEXTS = (
    "routes.0.hostname",
    "routes.0.path_prefix",
    "services.1.name",
    "workspaces.0.api_keys.1",
)
OPTIONAL_TEXTS = (
    "routes.0.name",
    "services.0.health_path",
    "workspaces.0.name",
)
FLAGS = ("open_access", "keeps_prefix", "resumable")
NOT_NUMBERS = ('"7"', "true", "null", "[]", "{}", "1e999", "9" * 5000)


def last(path):
    """Returns the name of the field that a path leads to."""
    return [step for step in path.split(".") if not step.isdigit()][-1]


def shown(path):
    """Returns a path as errors of validation write it."""
    text = ""
    for step in path.split("."):
        text += f"[{step}]" if step.isdigit() else f".{step}"
    return text.removeprefix(".")


def step_of(text):
    return int(text) if text.isdigit() else text


def changed(path, value):
    """Returns the valid configuration with another value of a field."""
    config = copy.deepcopy(CONFIG)
    *parents, name = map(step_of, path.split("."))
    parent = config
    for step in parents:
        parent = parent[step]
    parent[name] = value
    return config


def without(path):
    config = copy.deepcopy(CONFIG)
    *parents, name = map(step_of, path.split("."))
    parent = config
    for step in parents:
        parent = parent[step]
    del parent[name]
    return config


def refusal(config):
    """Returns why a configuration is refused, or an empty text."""
    text = config if isinstance(config, bytes) else json.dumps(config).encode()
    try:
        return "; ".join(decode_json(text, FleetConfig).problems())
    except msgspec.DecodeError as error:
        return str(error)


def with_token(path, token):
    text = json.dumps(changed(path, "@odd@"))
    return text.replace('"@odd@"', token).encode()


def test_the_example_is_valid():
    assert refusal(CONFIG) == ""


@pytest.mark.parametrize("path", NUMBERS)
@pytest.mark.parametrize(
    "value", [-1, LIMIT + 1, 10**400], ids=lambda n: str(n)[:20]
)
def test_a_number_out_of_range_is_refused_by_name(path, value):
    """Guards against limits, weights and times that mean nothing."""
    assert last(path) in refusal(changed(path, value))


@pytest.mark.parametrize("path", NUMBERS)
@pytest.mark.parametrize("token", NOT_NUMBERS, ids=lambda text: text[:9])
def test_what_is_no_number_is_refused_by_name(path, token):
    """Guards against a value of another type in place of a number."""
    assert last(path) in refusal(with_token(path, token))


@pytest.mark.parametrize("token", ["NaN", "Infinity", "-Infinity"])
def test_a_number_that_json_lacks_is_refused(token):
    """Guards against numbers that not every reader can read."""
    assert refusal(with_token("limits.tokens_per_s", token))


@pytest.mark.parametrize("path", NUMBERS)
def test_fractions_are_valid_only_where_the_unit_has_them(path):
    """Guards against half a connection, and against refusing half a second."""
    problem = refusal(changed(path, 2.5))
    assert (problem == "") is (last(path) in FRACTIONAL)
    assert not problem or last(path) in problem


@pytest.mark.parametrize("path", POSITIVE)
def test_a_zero_under_which_nothing_is_served_is_refused_by_name(path):
    """Guards against an accepted configuration that serves nobody."""
    assert shown(path) in refusal(changed(path, 0))


@pytest.mark.parametrize("path", ZERO_HAS_A_MEANING)
def test_a_zero_that_has_a_meaning_is_valid(path):
    """Guards against refusing a valid configuration."""
    assert refusal(changed(path, 0)) == ""


@pytest.mark.parametrize("path", NUMBERS)
@pytest.mark.parametrize("value", [1, LIMIT])
def test_the_ends_of_the_range_are_valid(path, value):
    """Guards against refusing a valid configuration."""
    assert refusal(changed(path, value)) == ""


@pytest.mark.parametrize("path", REQUIRED_TEXTS)
def test_an_empty_text_is_refused_by_name(path):
    """Guards against a route, service or key that nothing matches."""
    problem = refusal(changed(path, ""))
    assert shown(path) in problem


@pytest.mark.parametrize("path", OPTIONAL_TEXTS)
def test_a_text_that_only_describes_may_be_empty(path):
    """Guards against refusing a valid configuration."""
    assert refusal(changed(path, "")) == ""


@pytest.mark.parametrize("path", REQUIRED_TEXTS + OPTIONAL_TEXTS)
@pytest.mark.parametrize(
    "odd", ["\x00", "\r\nX: 1", "\x1b[0m", "\x7f", "\x85"], ids=ascii
)
def test_control_characters_are_refused_by_name(path, odd):
    """Guards against names that break the headers that they are sent in."""
    assert shown(path) in refusal(changed(path, f"/a{odd}b/"))


@pytest.mark.parametrize("path", REQUIRED_TEXTS + OPTIONAL_TEXTS)
def test_a_text_that_is_too_long_is_refused_by_name(path):
    """Guards against names that no request and no log line can hold."""
    is_service = path == "services.1.name"
    limit = MAX_NAME_CHARS if is_service else MAX_TEXT_CHARS
    longest = f"/{'n' * (limit - 2)}/"
    if path == "routes.0.hostname":
        longest = "n" * limit
    if is_service:
        longest = "n" * limit
        unknown = refusal(changed(path, longest))
        assert "unknown service" in unknown and shown(path) not in unknown
    else:
        assert refusal(changed(path, longest)) == ""
    problem = refusal(changed(path, longest + "n/"))
    assert shown(path) in problem
    assert len(problem) < 2000


@pytest.mark.parametrize("prefix", ["a/", "/a", "a", "*", " /a/"])
def test_a_prefix_without_its_slashes_is_refused_by_name(prefix):
    """Guards against a route that is accepted and answers 404."""
    problem = refusal(changed("routes.0.path_prefix", prefix))
    assert "routes[0].path_prefix" in problem


@pytest.mark.parametrize(
    "hostname", ["http://shop.example", "shop.example/a", "shop example", " "]
)
def test_what_is_no_host_is_refused_by_name(hostname):
    """Guards against a route that is accepted and answers 404."""
    problem = refusal(changed("routes.0.hostname", hostname))
    assert "routes[0].hostname" in problem


@pytest.mark.parametrize(
    "hostname",
    [
        "shop.example:8080",
        "SHOP.example",
        "localhost",
        "10.0.0.1",
        "[::1]:80",
        "b\u00fccher.example",
        "shop_1.example.",
        "*.example",
    ],
)
def test_any_value_of_a_host_header_is_valid(hostname):
    """Guards against refusing a valid configuration."""
    assert refusal(changed("routes.0.hostname", hostname)) == ""


@pytest.mark.parametrize("field", FLAGS)
@pytest.mark.parametrize("token", ["1", '"true"', "null"])
def test_what_is_no_boolean_is_refused_by_name(field, token):
    """Guards against an open route that nobody asked for."""
    assert field in refusal(with_token(f"routes.0.{field}", token))


@pytest.mark.parametrize(
    "token",
    ["true", '"7"', "7.0", "1e3", "7.5", "null", "[7]", "9" * 400, "9" * 5000],
    ids=lambda text: text[:9],
)
def test_what_is_no_version_is_refused_by_name(token):
    """Guards against a version that can't be compared with others."""
    assert "version" in refusal(with_token("version", token))


@pytest.mark.parametrize("version", [0, -1, 1, 2**63, 2**64, 10**30, 10**300])
def test_any_whole_version_is_valid(version):
    """Guards against refusing an order that a newer one has overtaken."""
    assert refusal(changed("version", version)) == ""


@pytest.mark.parametrize(
    "path",
    [
        "routes",
        "services.0.engine",
        "limits",
        "workspaces",
        "workspaces.0.api_keys",
        "workspaces.0.priority",
        "routes.0.objective_ms",
        "routes.0.gap_objective_ms",
        "routes.0.max_attempts",
        "routes.0.priority",
        "routes.0.destinations.0.weight",
        "services.0.max_connections",
        "services.0.health_path",
        "services.0.engine.link_mbps",
        *(f"limits.{name}" for name in CONFIG["limits"]),
        *(f"routes.0.{name}" for name in FLAGS),
    ],
)
def test_a_field_that_may_be_left_out_is_not_missed(path):
    """Guards against refusing a valid configuration."""
    assert refusal(without(path)) == ""


@pytest.mark.parametrize(
    "path",
    [
        "version",
        "routes.0.hostname",
        "routes.0.path_prefix",
        "routes.0.request_kind",
        "routes.0.timeout_ms",
        "services.1.name",
    ],
)
def test_a_field_that_must_be_there_is_named(path):
    """Guards against a refusal that doesn't say what is missing."""
    assert last(path) in refusal(without(path))


@pytest.mark.parametrize(
    "path",
    ["new", "routes.0.new", "services.0.new", "limits.new", "workspaces.0.new"],
)
@pytest.mark.parametrize("value", [None, -1, "", {"a": [1.5, {}]}], ids=str)
def test_a_field_that_is_not_known_is_ignored(path, value):
    """Guards against refusing the configurations of a newer operator."""
    assert refusal(changed(path, value)) == ""


@pytest.mark.parametrize("value", [[], {}])
def test_empty_lists_are_complete(value):
    """Guards against refusing a valid configuration."""
    assert refusal({**CONFIG, "routes": []}) == ""
    assert refusal({"version": 1, "routes": [], "services": []}) == ""
    assert refusal(changed("workspaces.0.api_keys", [])) == ""
    assert refusal(changed("workspaces", [])) == ""
    if value == {}:
        assert refusal(changed("limits", value)) == ""


def test_names_that_only_describe_may_repeat():
    """Guards against refusing a valid configuration."""
    assert refusal(changed("routes.1.name", "r-1")) == ""
    assert refusal(changed("workspaces.1.name", "shop")) == ""
    assert refusal(changed("workspaces.0.api_keys", ["k1", "k1"])) == ""


def test_a_service_of_two_meanings_is_refused_by_name():
    """Guards against a service of which only the second entry is in force."""
    services = CONFIG["services"]
    twice = {**CONFIG, "services": [*services, {"name": "api"}]}
    assert refusal(twice) == ""
    other = {"name": "api", "max_connections": 9}
    contrary = {**CONFIG, "services": [*services, other]}
    assert "services[2].name" in refusal(contrary)


def test_a_refusal_names_the_route_and_repeats_no_key():
    """Guards against refusals that show secrets, or that can't be found."""
    assert "'r-1'" in refusal(changed("routes.0.timeout_ms", 0))
    secret = "secret\x00key"
    problem = refusal(changed("workspaces.0.api_keys.1", secret))
    assert "workspaces[0].api_keys[1]" in problem
    assert "secret" not in problem


# Configurations that are drawn by the operators' documentation.

NAMES = st.text(st.characters(blacklist_categories=("Cc", "Cs")), max_size=12)
WORDS = st.from_regex(r"[a-z][a-z0-9-]{0,9}", fullmatch=True)
AMOUNTS = st.integers(0, LIMIT) | st.floats(0, LIMIT, allow_subnormal=False)
TIMES = st.integers(1, LIMIT) | st.floats(0.001, LIMIT)


def object_of(required, **optional):
    return st.fixed_dictionaries(required, optional=optional)


def services_of(names):
    engines = object_of(
        {},
        slots=st.integers(0, LIMIT),
        memory_tokens=st.integers(0, LIMIT),
        token_bytes=AMOUNTS,
        link_mbps=AMOUNTS,
        models=st.lists(object_of({"name": NAMES}), max_size=2),
    )
    return st.tuples(
        *(
            object_of(
                {"name": st.just(name)},
                health_path=st.sampled_from(["", "/", "/healthz"]),
                max_connections=st.integers(0, LIMIT),
                protocol=st.just("h1"),
                cold_start_s=AMOUNTS,
                cold_per_s=AMOUNTS,
                engine=st.none() | engines,
            )
            for name in names
        )
    ).map(list)


def splits_of(names):
    parts = object_of(
        {"service": st.sampled_from(names)}, weight=st.integers(0, LIMIT)
    )
    return st.lists(parts, min_size=1, max_size=4).filter(
        lambda drawn: any(part.get("weight", 1) for part in drawn)
    )


def routes_of(names):
    matches = st.lists(
        st.tuples(
            WORDS.map(lambda word: f"{word}.example"),
            st.lists(WORDS, max_size=3).map(
                lambda words: "".join(f"/{word}" for word in words) + "/"
            ),
        ),
        unique=True,
        max_size=4,
    )

    def route(match):
        return object_of(
            {
                "name": NAMES,
                "hostname": st.just(match[0]),
                "path_prefix": st.just(match[1]),
                "request_kind": st.sampled_from(
                    ["idempotent", "non_idempotent", "stream"]
                ),
                "timeout_ms": TIMES,
                "service": st.sampled_from(names),
            },
            objective_ms=AMOUNTS,
            gap_objective_ms=AMOUNTS,
            priority=st.integers(0, LIMIT),
            destinations=splits_of(names),
            max_attempts=st.integers(1, LIMIT),
            open_access=st.booleans(),
            keeps_prefix=st.booleans(),
            resumable=st.booleans(),
        )

    return matches.flatmap(
        lambda drawn: st.tuples(*map(route, drawn)).map(list)
    )


def workspaces_of(keys):
    return st.lists(
        st.tuples(NAMES, st.integers(0, LIMIT)), max_size=len(keys)
    ).map(
        lambda drawn: [
            {"name": name, "priority": priority, "api_keys": [key]}
            for (name, priority), key in zip(drawn, keys, strict=False)
        ]
    )


LIMITS = object_of(
    {},
    max_header_bytes=st.integers(1, LIMIT),
    max_body_bytes=st.integers(0, LIMIT),
    header_timeout_ms=TIMES,
    idle_timeout_ms=TIMES,
    tokens_per_s=AMOUNTS,
)


@st.composite
def valid_configs(draw):
    """Draws configurations that the documentation calls valid."""
    names = draw(st.lists(WORDS, min_size=1, max_size=3, unique=True))
    keys = draw(st.lists(WORDS, max_size=4, unique=True))
    return draw(
        object_of(
            {
                "version": st.integers(-5, 10**40),
                "routes": routes_of(names),
                "services": services_of(names),
            },
            limits=LIMITS,
            workspaces=workspaces_of(keys),
            new_field=st.booleans(),
        )
    )


@given(config=valid_configs())
def test_no_valid_configuration_is_refused(config):
    """Guards against refusing a valid configuration."""
    assert refusal(config) == ""


ODD_VALUES = st.one_of(
    st.sampled_from(
        [-1, 0, 1, LIMIT + 1, 10**400, 0.5, 1e308, True, None, "", "7", [], {}]
    ),
    st.text(max_size=8),
)
FIELDS = (
    *NUMBERS,
    *REQUIRED_TEXTS,
    *OPTIONAL_TEXTS,
    *(f"routes.0.{name}" for name in FLAGS),
    "version",
)


@given(path=st.sampled_from(FIELDS), value=ODD_VALUES)
def test_an_odd_configuration_is_refused_by_name_or_serves_its_routes(
    path, value
):
    """Guards against accepted configurations that serve nobody."""
    config = changed(path, value)
    problem = refusal(config)
    if problem:
        assert last(path) in problem or "unknown service" in problem
        return
    decoded = decode_json(json.dumps(config).encode(), FleetConfig)
    table = RouteTable(decoded)
    for route in decoded.routes:
        found = table.route(route.hostname, f"{route.path_prefix}x")
        assert found is route
        assert route.max_attempts > 0
        assert 0 < route.timeout_ms <= LIMIT
