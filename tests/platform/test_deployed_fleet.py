"""The processes of a deployment start by the command of the deploy file."""

from deployed_fleet import CONTROL, GATEWAY, deployed_fleet, render
from gateway_fleet import wait_until

ROUTE = {
    "name": "r-1",
    "hostname": "ficu95.example",
    "path_prefix": "/lohu930/",
    "request_kind": "idempotent",
    "timeout_ms": 5000,
    "objective_ms": 800,
    "service": "huvo11a",
    "max_attempts": 2,
    "open_access": True,
}
CONFIG = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "huvo11a", "health_path": "/healthz"}],
    "workspaces": [],
}


def test_values_and_sections_of_a_template():
    values = {"a": {"b": [1, 2]}, "zones": {"x": "r", "y": "r"}, "no": None}
    template = (
        "{{a.b.0}} {{a.b}} {{a|json}} {{#zones}}{{@}}={{.}}{{,}}{{/zones}}"
        "{{#no}}{{.}}{{/no}}{{^no}} none{{/no}}"
    )
    expected = '1 1,2 {"b": [1, 2]} x=r,y=r none'
    assert render(template, values) == expected


async def test_a_deployment_becomes_ready(tmp_path):
    """Guards against templates or commands with which no process starts."""
    async with deployed_fleet(tmp_path, [1, 1, 1], 1) as fleet:
        await fleet.start_all()

        async def config_is_accepted():
            return await fleet.put_config(CONFIG) == 200

        async def all_are_ready():
            return all([await fleet.is_ready(h) for h in fleet.hosts])

        await wait_until(config_is_accepted)
        await wait_until(all_are_ready)
        assert all(child.is_running for child in fleet.children())
        for host in fleet.hosts:
            assert set(host.children) == {CONTROL, GATEWAY}
