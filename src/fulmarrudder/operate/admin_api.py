"""HTTP API on the admin port: operators' commands and status of nodes."""

import hmac
import json

import pydantic
from twisted.internet.defer import ensureDeferred
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from fulmarrudder.clock import wall_seconds
from fulmarrudder.distribution.duties import relays_of
from fulmarrudder.http import BytesBody, read_body
from fulmarrudder.node.settings import Operator
from fulmarrudder.observe import logs
from fulmarrudder.operate.answer import ANSWERS, Answer, Denied
from fulmarrudder.operate.command import Query
from fulmarrudder.operate.document import parse_document
from fulmarrudder.operate.execute import CommandExecutor
from fulmarrudder.operate.fleet import FleetView, encode_statuses
from fulmarrudder.operate.language import parse_command
from fulmarrudder.state_machine import CONTROLLER, duty_named

MAX_BODY_BYTES = 16 * 1024 * 1024
FORWARD_TIMEOUT_S = 2.0
FORWARD_CONNECT_TIMEOUT_S = 1.0
FORWARDED_HEADER = b"fulmarrudder-forwarded"
BEARER_PREFIX = b"Bearer "


class CommandModel(pydantic.BaseModel):
    """Body of a posted command."""

    model_config = pydantic.ConfigDict(extra="forbid")

    command: str = pydantic.Field(max_length=4096)
    document: dict | None = None


def bearer_token(request) -> bytes:
    """Returns the bearer token of a request, or an empty string."""
    header = request.getHeader(b"authorization") or b""
    return (
        header.removeprefix(BEARER_PREFIX)
        if header.startswith(BEARER_PREFIX)
        else b""
    )


def authenticate_operator(token: bytes, operators: tuple[Operator, ...]) -> str:
    """Finds the operator that a token belongs to.

    Compares with every token in constant time, so that the duration of the
    search reveals nothing about them.

    Args:
        token: The token of the request.
        operators: Operators that may send commands.

    Returns:
        The operator's name, or an empty string.
    """
    found = ""
    for operator in operators:
        if hmac.compare_digest(token, operator.token.encode()):
            found = operator.name
    return found


class CommandResource(Resource):
    """Accepts operators' commands.

    A node forwards a query to the controller, which receives the summaries of
    every data centre, or else to a relay; if none can be reached it answers
    from its own state. A command that changes state is never forwarded: the
    node appends its record itself, so that no command is executed twice.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, node, reactor, executor: CommandExecutor):
        super().__init__()
        self.node = node
        self.reactor = reactor
        self.executor = executor
        self.agent = Agent(reactor, connectTimeout=FORWARD_CONNECT_TIMEOUT_S)

    def render_POST(self, request):  # noqa: N802
        """Authenticates the operator and executes one command."""
        operator = authenticate_operator(
            bearer_token(request), self.node.settings.operators
        )
        if not operator:
            logs.warning(
                "operator-refused", host=request.getClientAddress().host
            )
            return _respond(
                request,
                401,
                Denied(
                    reason="unauthorised",
                    detail="no operator has this token",
                    advice="set FULMARRUDDER_TOKEN to your operator's token",
                ),
            )
        data = request.content.read(MAX_BODY_BYTES)
        ensureDeferred(self._serve(request, operator, data))
        return NOT_DONE_YET

    async def _serve(self, request, operator: str, data: bytes) -> None:
        disconnects: list = []
        request.notifyFinish().addErrback(disconnects.append)
        try:
            status, body = await self._answer(request, operator, data)
        except Exception as error:
            logs.error("command-failed", error=repr(error))
            status, body = 500, b'{"error": "internal"}'
        if not disconnects:
            request.setResponseCode(status)
            request.setHeader(b"content-type", b"application/json")
            request.write(body)
            request.finish()

    async def _answer(self, request, operator: str, data: bytes):
        try:
            model = CommandModel.model_validate_json(data)
        except pydantic.ValidationError:
            return 400, _encode(_bad_command("the request's JSON is wrong"))
        parsed = parse_command(model.command, wall_seconds())
        if parsed.is_error():
            return 400, _encode(_bad_command(str(parsed.error)))
        arrangement = None
        if model.document is not None:
            document = parse_document(model.document)
            if document.is_error():
                detail = "; ".join(document.error.faults)
                return 200, _encode(
                    Denied(
                        reason="invalid",
                        detail=detail,
                        advice="mend the document and publish it again",
                    )
                )
            arrangement = document.ok
        if isinstance(parsed.ok, Query):
            forwarded = await self._forward(request, data)
            if forwarded is not None:
                return 200, forwarded
        answer = await self.executor.execute(parsed.ok, operator, arrangement)
        return 200, _encode(answer)

    async def _forward(self, request, data: bytes) -> bytes | None:
        if request.getHeader(FORWARDED_HEADER):
            return None
        state = self.node.state_store.state
        own = self.node.settings.admin_address
        controller = duty_named(state, CONTROLLER)
        duties = [controller] if controller else []
        if not self.node.mesh.is_relay():
            duties += relays_of(state, self.node.settings.data_centre)
        for duty in duties:
            if duty.admin_address == own:
                return None
            answer = await self._forward_to(duty.admin_address, request, data)
            if answer is not None:
                return answer
        return None

    async def _forward_to(self, address: str, request, data: bytes):
        headers = Headers(
            {
                b"authorization": [request.getHeader(b"authorization")],
                FORWARDED_HEADER: [b"yes"],
            }
        )
        url = f"http://{address}/v1/command".encode()
        try:
            query = self.agent.request(b"POST", url, headers, BytesBody(data))
            response = await query.addTimeout(FORWARD_TIMEOUT_S, self.reactor)
            if response.code != 200:
                return None
            return await read_body(response, MAX_BODY_BYTES).addTimeout(
                FORWARD_TIMEOUT_S, self.reactor
            )
        except Exception as error:
            logs.info("forward-failed", address=address, error=repr(error))
            return None


class ConfigStatusResource(Resource):
    """Serves the configuration status of this relay's nodes to other nodes."""

    isLeaf = True  # noqa: N815

    def __init__(self, node, fleet: FleetView):
        super().__init__()
        self.node = node
        self.fleet = fleet

    def render_GET(self, request):  # noqa: N802
        """Returns the status as JSON to a node that has the mesh token."""
        token = self.node.settings.mesh_token.encode()
        if not hmac.compare_digest(bearer_token(request), token):
            request.setResponseCode(401)
            return b"{}"
        return encode_statuses(self.fleet.local_statuses())


def make_api_resource(node, reactor, fleet: FleetView) -> Resource:
    """Builds the resources below `/v1`."""
    api = Resource()
    executor = CommandExecutor(node, fleet)
    api.putChild(b"command", CommandResource(node, reactor, executor))
    api.putChild(b"held", ConfigStatusResource(node, fleet))
    return api


def _bad_command(detail: str) -> Denied:
    return Denied(
        reason="bad-command",
        detail=detail,
        advice="see 'fulmarrudder --help' and docs/OPERATORS.md",
    )


def _encode(answer: Answer) -> bytes:
    return json.dumps(ANSWERS.dump(answer, json_types=True)).encode()


def _respond(request, status: int, answer: Answer) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return _encode(answer)
