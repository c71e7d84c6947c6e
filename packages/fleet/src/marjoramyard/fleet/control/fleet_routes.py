"""Internal HTTP routes for other control hosts and for gateways."""

from aiohttp import web
from result import Err, Result

from marjoramyard.coordination.governance.commands import ChangeZone
from marjoramyard.fleet import paths
from marjoramyard.fleet.config_transfer import FetchConfig
from marjoramyard.fleet.control.cluster_manager import ClusterManager
from marjoramyard.fleet.control.service import FleetService
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.sync_messages import (
    ConfirmVersions,
    FindEndpoint,
    HostAnnouncement,
    PutConfig,
    SyncRequest,
)
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.errors import FleetError


def fleet_routes(
    cluster_manager: ClusterManager, service: FleetService
) -> list[web.RouteDef]:
    """Returns the routes of announcements, syncs and operators' calls."""

    async def announce(request: web.Request) -> web.Response:
        message = await read_message(request, HostAnnouncement)
        return json_response(cluster_manager.on_announce(message))

    async def find_endpoint(request: web.Request) -> web.Response:
        message = await read_message(request, FindEndpoint)
        return json_response(service.endpoints.on_find(message))

    async def sync(request: web.Request) -> web.Response:
        message = await read_message(request, SyncRequest)
        return json_response(await service.sync(message))

    async def put_config(request: web.Request) -> web.Response:
        message = await read_message(request, PutConfig)
        return _result_response(await service.on_put_config(message))

    async def read_config(_: web.Request) -> web.Response:
        return _result_response(await service.on_read_config(Empty()))

    async def fetch_config(request: web.Request) -> web.Response:
        message = await read_message(request, FetchConfig)
        return web.Response(
            body=service.encoded_config_update(message),
            content_type="application/json",
        )

    async def change_zone(request: web.Request) -> web.Response:
        message = await read_message(request, ChangeZone)
        return _result_response(await service.zones.on_change(message))

    async def read_zones(_: web.Request) -> web.Response:
        return _result_response(await service.zones.on_read(Empty()))

    async def confirm_versions(request: web.Request) -> web.Response:
        message = await read_message(request, ConfirmVersions)
        return _result_response(await service.versions.on_confirm(message))

    return [
        web.post(paths.ANNOUNCE_PATH, announce),
        web.post(paths.FIND_ENDPOINT_PATH, find_endpoint),
        web.post(paths.SYNC_PATH, sync),
        web.post(paths.PUT_CONFIG_PATH, put_config),
        web.post(paths.READ_CONFIG_PATH, read_config),
        web.post(paths.FETCH_CONFIG_PATH, fetch_config),
        web.post(paths.CHANGE_ZONE_PATH, change_zone),
        web.post(paths.READ_ZONES_PATH, read_zones),
        web.post(paths.CONFIRM_VERSIONS_PATH, confirm_versions),
    ]


def _result_response(result: Result) -> web.Response:
    if isinstance(result, Err):
        raise FleetError(result.err_value)
    return json_response(result.ok_value)
