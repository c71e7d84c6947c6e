"""The public HTTP interfaces of a control host, one per dialect."""

from collections.abc import Callable

import msgspec
from aiohttp import hdrs, web
from result import Err

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import FleetConfig
from marjoramyard.fleet.control.service import FleetService
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.util.request_body import read_body
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.errors import FailureKind, FleetError, raise_failure
from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.util.decoding import decode_json

OPERATOR_DIALECTS: Registry[Callable[[FleetService], list[web.RouteDef]]] = (
    Registry("dialect")
)
"""Make the routes of a control host's public address, by dialect."""

MAX_DOCUMENT_BYTES = 16 << 20


@OPERATOR_DIALECTS.register("native")
def native_routes(service: FleetService) -> list[web.RouteDef]:
    """Returns the routes of the native dialect.

    Bodies are JSON in the form of the internal message types.
    """

    async def put_config(request: web.Request) -> web.Response:
        body = await read_body(request)
        config = decode_json(body, FleetConfig)
        refusal = config.refusal()
        if refusal and not service.has_accepted(body):
            raise_failure(FailureKind.INVALID_BUNDLE, refusal)
        result = await service.put_config(ConfigDocument(config.version, body))
        if isinstance(result, Err):
            raise FleetError(result.err_value)
        return json_response(Empty())

    async def get_config(_: web.Request) -> web.Response:
        result = await service.read_config()
        if isinstance(result, Err):
            raise FleetError(result.err_value)
        if result.ok_value.document is None:
            raise_failure(
                FailureKind.UNINITIALISED,
                "no configuration yet; send the first one",
            )
        return web.Response(
            body=result.ok_value.document.text, content_type="application/json"
        )

    async def register(request: web.Request) -> web.Response:
        try:
            registration = await read_message(request, Registration)
        except msgspec.DecodeError as error:
            service.on_refused_heartbeat(
                request.match_info["endpoint"], str(error)
            )
            raise
        await service.register(registration)
        return json_response(Empty())

    async def deregister(request: web.Request) -> web.Response:
        await service.deregister(request.match_info["endpoint"])
        return json_response(Empty())

    async def change_zone(request: web.Request) -> web.Response:
        result = await service.zones.change(
            request.match_info["zone"],
            request.method == hdrs.METH_PUT,
            request.query.get("operator", ""),
            lambda: request.transport is not None,
        )
        if isinstance(result, Err):
            raise FleetError(result.err_value)
        return json_response(Empty())

    async def read_zones(_: web.Request) -> web.Response:
        result = await service.zones.read()
        if isinstance(result, Err):
            raise FleetError(result.err_value)
        return json_response(result.ok_value)

    return [
        web.put("/evacuations/{zone}", change_zone),
        web.delete("/evacuations/{zone}", change_zone),
        web.get("/evacuations", read_zones),
        web.put("/fleet-config", put_config),
        web.get("/fleet-config", get_config),
        web.put("/registrations/{endpoint}", register),
        web.delete("/registrations/{endpoint}", deregister),
    ]
