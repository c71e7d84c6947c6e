"""Validation of a configuration and route lookup."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.routing.config import (
    Destination,
    FleetConfig,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from marjoramyard.coordination.routing.table import (
    PromptPart,
    RouteTable,
    parse_prompt_parts,
    pick_destination,
)


def make_route(name="r", prefix="/a/", **changes):
    fields = {
        "name": name,
        "hostname": "shop.example",
        "path_prefix": prefix,
        "request_kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 1000.0,
        "service": "api",
    }
    return Route(**{**fields, **changes})


def make_config(*routes, **changes):
    fields = {"version": 1, "services": (Service("api"), Service("llm"))}
    return FleetConfig(routes=routes, **{**fields, **changes})


@pytest.mark.parametrize(
    ("config", "part"),
    [
        (make_config(make_route(service="gone")), "unknown service"),
        (make_config(make_route("a"), make_route("b")), "share host"),
        (make_config(make_route(timeout_ms=0)), "timeout"),
        (
            make_config(make_route(destinations=(Destination("api", 0),))),
            "weights",
        ),
        (
            make_config(
                workspaces=(Workspace("a", ("k",)), Workspace("b", ("k",)))
            ),
            "share a key",
        ),
        (
            make_config(
                make_route("a"), make_route("b", hostname="Shop.Example")
            ),
            "share host",
        ),
        (make_config(make_route(""), make_route("")), "share host"),
        (
            make_config(
                make_route(service="gone", destinations=(Destination("api"),))
            ),
            "unknown service",
        ),
        (
            make_config(
                workspaces=(Workspace("a", ("k",)), Workspace("a", ("k",)))
            ),
            "share a key",
        ),
    ],
)
def test_an_invalid_configuration_has_one_problem(config, part):
    problems = config.problems()
    assert len(problems) == 1
    assert part in problems[0]


def test_a_valid_configuration_has_no_problems():
    config = make_config(
        make_route("a"),
        make_route("b", "/b/"),
        workspaces=(Workspace("x", ("k1", "k2")), Workspace("y", ("k3",))),
    )
    assert config.problems() == []


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a.example", "A.example", "a.EXAMPLE", "b"]),
            st.sampled_from(["/", "/x/", "/X/", "/x/y/"]),
            st.sampled_from(["", "r", "s"]),
        ),
        max_size=5,
    )
)
def test_each_route_of_a_valid_configuration_can_be_reached(drawn):
    """Guards against a route that is accepted and that another one hides."""
    routes = [
        make_route(name, prefix, hostname=hostname)
        for hostname, prefix, name in drawn
    ]
    config = make_config(*routes)
    table = RouteTable(config)
    found = [table.route(r.hostname, r.path_prefix + "z") for r in routes]
    is_valid = all(f is r for f, r in zip(found, routes, strict=True))
    assert (config.problems() == []) is is_valid


def test_the_longest_prefix_wins():
    table = RouteTable(
        make_config(
            make_route("short", "/a/"),
            make_route("long", "/a/b/"),
            make_route("root", "/"),
        )
    )
    assert table.route("shop.example", "/a/b/c").name == "long"
    assert table.route("SHOP.example:80", "/a/x").name == "short"
    assert table.route("shop.example", "/ab").name == "root"
    assert table.route("other.example", "/a/b/c") is None


def test_a_path_without_a_matching_prefix_has_no_route():
    table = RouteTable(make_config(make_route("only", "/a/")))
    assert table.route("shop.example", "/a") is None
    assert table.route("shop.example", "/") is None


@given(
    st.lists(st.integers(0, 5), min_size=1, max_size=5).filter(any),
    st.floats(0, 1, exclude_max=True),
)
def test_a_destination_without_weight_is_never_picked(weights, fraction):
    destinations = tuple(Destination(str(i), w) for i, w in enumerate(weights))
    assert pick_destination(destinations, fraction).weight > 0


def test_prompt_parts_end_at_the_first_invalid_item():
    assert parse_prompt_parts("a1:800, b2:41,junk,c3:5") == (
        PromptPart("a1", 800),
        PromptPart("b2", 41),
    )
    assert parse_prompt_parts("") == ()


def test_a_stream_may_be_repeated_only_if_it_is_resumable():
    stream = make_route(request_kind=RequestKind.STREAM)
    assert not stream.may_repeat
    assert msgspec.structs.replace(stream, resumable=True).may_repeat
    assert not make_route(request_kind=RequestKind.NON_IDEMPOTENT).may_repeat
