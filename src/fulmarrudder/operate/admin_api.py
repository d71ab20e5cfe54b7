"""Border of operators' commands: HTTP on the admin port."""

import hmac
import json

import pydantic
from twisted.internet.defer import ensureDeferred
from twisted.web.client import Agent, readBody
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from fulmarrudder.clock import wall_seconds
from fulmarrudder.distribution import relays_of
from fulmarrudder.http import BytesBody
from fulmarrudder.node.settings import Operator
from fulmarrudder.observe import logs
from fulmarrudder.operate.answer import ANSWERS, Answer, Denied
from fulmarrudder.operate.command import Query
from fulmarrudder.operate.document import parse_document
from fulmarrudder.operate.execute import CommandExecutor
from fulmarrudder.operate.fleet import FleetView, encode_statuses
from fulmarrudder.operate.language import parse_command
from fulmarrudder.state_machine import CONTROLLER, duty_named

BODY_LIMIT = 16 * 1024 * 1024
FORWARD_LIMIT_S = 2.0
FORWARD_CONNECT_S = 1.0
FORWARDED = b"fulmarrudder-forwarded"
BEARER = b"Bearer "


class CommandModel(pydantic.BaseModel):
    """A command as it is posted."""

    model_config = pydantic.ConfigDict(extra="forbid")

    command: str = pydantic.Field(max_length=4096)
    document: dict | None = None


def bearer_token(request) -> bytes:
    """Returns the token that a request shows, or nothing."""
    shown = request.getHeader(b"authorization") or b""
    return shown.removeprefix(BEARER) if shown.startswith(BEARER) else b""


def authenticate_operator(token: bytes, operators: tuple[Operator, ...]) -> str:
    """Finds whose token it is, in a time that does not tell.

    Args:
        token: The token shown.
        operators: Who may command.

    Returns:
        The operator's name, or empty.
    """
    found = ""
    for operator in operators:
        if hmac.compare_digest(token, operator.token.encode()):
            found = operator.name
    return found


class CommandResource(Resource):
    """Takes operators' commands.

    A node passes a question on to the controller, which hears of every data
    centre, or else to a relay; when none can be reached it answers from what
    it knows itself. What changes something it appends itself, so that no
    command is ever given twice.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, node, reactor, executor: CommandExecutor):
        super().__init__()
        self.node = node
        self.reactor = reactor
        self.executor = executor
        self.agent = Agent(reactor, connectTimeout=FORWARD_CONNECT_S)

    def render_POST(self, request):  # noqa: N802
        """Takes one command."""
        operator = authenticate_operator(
            bearer_token(request), self.node.settings.operators
        )
        if not operator:
            logs.warning(
                "operator-refused", host=request.getClientAddress().host
            )
            return _answered(
                request,
                401,
                Denied(
                    reason="unauthorised",
                    detail="no operator has this token",
                    advice="set FULMARRUDDER_TOKEN to your operator's token",
                ),
            )
        data = request.content.read(BODY_LIMIT)
        ensureDeferred(self._serve(request, operator, data))
        return NOT_DONE_YET

    async def _serve(self, request, operator: str, data: bytes) -> None:
        gone: list = []
        request.notifyFinish().addErrback(gone.append)
        try:
            status, body = await self._answer(request, operator, data)
        except Exception as error:
            logs.error("command-failed", error=repr(error))
            status, body = 500, b'{"error": "internal"}'
        if not gone:
            request.setResponseCode(status)
            request.setHeader(b"content-type", b"application/json")
            request.write(body)
            request.finish()

    async def _answer(self, request, operator: str, data: bytes):
        try:
            model = CommandModel.model_validate_json(data)
        except pydantic.ValidationError:
            return 400, _encoded(_bad("the request's JSON is wrong"))
        parsed = parse_command(model.command, wall_seconds())
        if parsed.is_error():
            return 400, _encoded(_bad(str(parsed.error)))
        arrangement = None
        if model.document is not None:
            document = parse_document(model.document)
            if document.is_error():
                detail = "; ".join(document.error.faults)
                return 200, _encoded(
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
        return 200, _encoded(answer)

    async def _forward(self, request, data: bytes) -> bytes | None:
        if request.getHeader(FORWARDED):
            return None
        state = self.node.state_store.state
        own = self.node.settings.admin_address
        controller = duty_named(state, CONTROLLER)
        knowing = [controller] if controller else []
        if not self.node.mesh.is_relay():
            knowing += relays_of(state, self.node.settings.data_centre)
        for duty in knowing:
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
                FORWARDED: [b"yes"],
            }
        )
        url = f"http://{address}/v1/command".encode()
        try:
            asked = self.agent.request(b"POST", url, headers, BytesBody(data))
            response = await asked.addTimeout(FORWARD_LIMIT_S, self.reactor)
            if response.code != 200:
                return None
            return await readBody(response).addTimeout(
                FORWARD_LIMIT_S, self.reactor
            )
        except Exception as error:
            logs.info("forward-failed", address=address, error=repr(error))
            return None


class ConfigStatusResource(Resource):
    """Tells other nodes what the nodes of this relay hold."""

    isLeaf = True  # noqa: N815

    def __init__(self, node, fleet: FleetView):
        super().__init__()
        self.node = node
        self.fleet = fleet

    def render_GET(self, request):  # noqa: N802
        """Answers a node that shows the mesh token."""
        token = self.node.settings.mesh_token.encode()
        if not hmac.compare_digest(bearer_token(request), token):
            request.setResponseCode(401)
            return b"{}"
        return encode_statuses(self.fleet.local_statuses())


def make_api_resource(node, reactor, fleet: FleetView) -> Resource:
    """Builds the pages below `/v1`."""
    pages = Resource()
    executor = CommandExecutor(node, fleet)
    pages.putChild(b"command", CommandResource(node, reactor, executor))
    pages.putChild(b"held", ConfigStatusResource(node, fleet))
    return pages


def _bad(detail: str) -> Denied:
    return Denied(
        reason="bad-command",
        detail=detail,
        advice="see 'fulmarrudder --help' and docs/OPERATORS.md",
    )


def _encoded(answer: Answer) -> bytes:
    return json.dumps(ANSWERS.dump(answer, json_types=True)).encode()


def _answered(request, status: int, answer: Answer) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return _encoded(answer)
