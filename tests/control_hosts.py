"""Control hosts in separate processes, of which some stop."""

import contextlib
import json

import msgspec
from gateway_fleet import GatewayFleet, config, wait_until
from raw_clients import http_request

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet import paths
from marjoramyard.fleet.sync_messages import PutConfig
from marjoramyard.standin.processes import free_address

DRAIN_SECONDS = 4.0
CONTROL = ("control-0", "control-1", "control-2")


class ControlHosts(GatewayFleet):
    """The control hosts of a fleet."""

    def internal_address(self, number):
        return f"{self.hosts[number]}:{self.peer_port}"

    def child(self, number):
        return self.children[CONTROL[number]]


def free_port():
    return int(free_address().split(":")[1])


@contextlib.asynccontextmanager
async def started_control_hosts(folder, metrics_port, **settings):
    """Starts three control hosts with further settings.

    Args:
        folder: For the files of the processes.
        metrics_port: The port of their addresses for metrics.
        **settings: The same for all.
    """
    fleet = ControlHosts(folder)
    for number, host in enumerate(fleet.hosts):
        fleet.write_control_settings(
            number,
            host,
            first_start=True,
            drain_seconds=DRAIN_SECONDS,
            metrics_listen=f"{host}:{metrics_port}",
            **settings,
        )
    try:
        for name in CONTROL:
            await fleet.start(name)
        yield fleet
    except BaseException:
        fleet.print_log_ends()
        raise
    finally:
        await fleet.close()


@contextlib.asynccontextmanager
async def control_hosts(folder):
    """Starts three control hosts, and yields when one may be lost.

    Each has a configuration then, and all are voters.
    """
    async with started_control_hosts(folder, free_port()) as fleet:
        await fleet.put_config(config(1))
        await wait_until(fleet.control_hosts_are_ready)
        await wait_until(lambda: all_are_voters(fleet))
        yield fleet


async def status_of(fleet, number):
    url = f"http://{fleet.internal_address(number)}{paths.STATUS_PATH}"
    async with fleet.session.post(url, data=b"{}") as response:
        return await response.json()


async def role_of(fleet, number):
    return (await status_of(fleet, number))["role"]


async def all_are_voters(fleet):
    """Whether each host knows that all three vote."""
    statuses = [await status_of(fleet, number) for number in range(3)]
    return all(len(each["membership"]["voters"]) == 3 for each in statuses)


async def find_host(fleet, role):
    """Returns the number of a control host with a role."""

    async def found():
        roles = [await role_of(fleet, number) for number in range(3)]
        return [str(n) for n, r in enumerate(roles) if r == role][:1]

    return int((await wait_until(found))[0])


async def store_unchecked(fleet, document):
    """Stores a configuration as a host of an earlier release may have."""
    text = json.dumps(document).encode()
    message = PutConfig(ConfigDocument(document["version"], text))

    async def is_stored():
        for number in range(len(fleet.hosts)):
            address = fleet.internal_address(number)
            async with fleet.session.post(
                f"http://{address}{paths.PUT_CONFIG_PATH}",
                data=msgspec.json.encode(message),
            ) as response:
                if response.status == 200:
                    return True
        return False

    await wait_until(is_stored)


def put(path, value, method="PUT", **headers):
    return http_request(method, path, json.dumps(value).encode(), **headers)
