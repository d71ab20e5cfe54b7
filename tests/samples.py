"""One instance of each type that crosses a border, with every field set."""

from fulmarrudder.distribution.message import (
    ClaimRequest,
    ConfigChange,
    Delta,
    Document,
    FactBatch,
    Hello,
    InterestUpdate,
    PathUpdate,
    Redirect,
    ResyncRequest,
    Role,
    Snapshot,
    SourceRecord,
    SourceUpdate,
    UpToDate,
    Vacancy,
)
from fulmarrudder.log import RawRecord
from fulmarrudder.model import (
    Amend,
    Arrangement,
    Brake,
    ClaimDuty,
    ClaimKey,
    CloseMove,
    Condition,
    ConfigStatus,
    ConfigSummary,
    Decision,
    EndMove,
    Evacuation,
    Evidence,
    Limits,
    MoveProgress,
    Presence,
    Publish,
    ReleaseKey,
    RenewDuty,
    Route,
    Service,
    SettleKey,
    SourceEra,
    StartMove,
    StepMove,
    Strike,
    Tally,
    WeightedService,
)
from fulmarrudder.operate.answer import (
    ActiveArrangement,
    DataCentreStatus,
    Denied,
    Done,
    MoveList,
    MoveStatus,
    NodeList,
    Status,
    Undecided,
)
from fulmarrudder.quotas import QuotaReport, QuotaSum, QuotaUse
from fulmarrudder.state_machine import Move, Phase, State
from fulmarrudder.state_machine.state import CurrentVersion, Duty

SERVICE = Service(name="caja", target_versions=("1", "2"), initial="1")
ROUTE = Route(
    name="deposits",
    host="esfera.example",
    prefix="/deposits",
    service="caja",
    idempotent=True,
    by_method=False,
    timeout_ms=1_500,
    callers=("vitrina",),
    split=(
        WeightedService(service="caja", weight=90),
        WeightedService(service="vitrina", weight=10),
    ),
    rank=2,
    latency_objective_ms=250,
    attempts=4,
)
ARRANGEMENT = Arrangement(
    services=(SERVICE,),
    routes=(ROUTE,),
    limits=Limits(
        header_bytes=1_024, body_bytes=2_048, header_ms=3_000, idle_ms=4_000
    ),
)
HELD = ConfigStatus(
    node="n1", incarnation=5, data_centre="lima-1", offset=7, version=3
)
MOVES = tuple(
    Move(
        id=f"move-{phase.value}",
        service="caja",
        from_version="1",
        to_version="2",
        operator="ana",
        deadline=1785000000.5,
        permille=60,
        phase=phase,
        opened=4,
        changed=6,
        decision=decision,
        by="controller",
        reason="errors",
        data_centres=("lima-1",),
    )
    for phase, decision in (
        (Phase.RUNNING, None),
        (Phase.COMPLETING, Decision.COMPLETE),
        (Phase.TAKING_BACK, Decision.TAKE_BACK),
        (Phase.COMPLETED, Decision.COMPLETE),
        (Phase.TAKEN_BACK, Decision.TAKE_BACK),
    )
)
STATE = State(
    offset=7,
    digest="00ff",
    version=3,
    operator="ana",
    arrangement=ARRANGEMENT,
    currents=(CurrentVersion(service="caja", target_version="1"),),
    moves=MOVES[:3],
    history=MOVES[3:],
    duties=(
        Duty(
            name="relay/lima-1/0",
            term=2,
            holder="n1/5",
            data_centre="lima-1",
            mesh_address="127.0.0.1:1",
            admin_address="127.0.0.1:2",
        ),
    ),
    seen=("id-1", "id-2"),
)
BODIES = (
    Publish(operator="ana", expected=2, arrangement=ARRANGEMENT),
    Amend(
        operator="ana",
        expected=2,
        services=(SERVICE,),
        routes=(ROUTE,),
        dropped_services=("old",),
        dropped_routes=("older",),
    ),
    StartMove(
        move="move-1",
        operator="ana",
        service="caja",
        to_version="2",
        expected=3,
        deadline=1785000000.5,
    ),
    StepMove(move="move-1", term=2, expected_permille=10, permille=20),
    EndMove(
        move="move-1",
        decision=Decision.COMPLETE,
        by="ana",
        reason="tried",
        term=2,
    ),
    EndMove(
        move="move-1",
        decision=Decision.TAKE_BACK,
        by="ana",
        reason="errors",
        term=0,
    ),
    CloseMove(move="move-1", term=2, data_centres=("lima-1", "lima-2")),
    ClaimDuty(
        duty="controller",
        holder="n1/5",
        data_centre="lima-1",
        mesh_address="127.0.0.1:1",
        admin_address="127.0.0.1:2",
        expected_term=1,
    ),
    RenewDuty(duty="controller", holder="n1/5", term=2),
    ClaimKey(key="k1", fingerprint="f1"),
    SettleKey(
        key="k1",
        claim="id-1",
        status=201,
        content_type="text/plain",
        body="ok",
    ),
    ReleaseKey(key="k1", claim="id-1"),
)
FACTS = (
    *(
        Presence(
            node=f"n-{condition.value}",
            incarnation=5,
            sequence=6,
            data_centre="lima-1",
            call_address="127.0.0.1:1",
            mesh_address="127.0.0.1:2",
            service="caja",
            target_version="1",
            condition=condition,
            slots=4,
        )
        for condition in Condition
    ),
    Brake(
        move="move-1",
        service="caja",
        target_version="2",
        route="deposits",
        reason="errors",
    ),
    Strike(fingerprint="f1", crash_id="n1/5/1", expires=1785000000.5),
    HELD,
    Evidence(
        source="n1",
        incarnation=5,
        sequence=6,
        tallies=(
            Tally(
                service="caja",
                target_version="2",
                route="deposits",
                requests=9,
                failures=1,
                latency_buckets=(0, 3, 6),
            ),
        ),
        attached=5,
    ),
    ConfigSummary(
        relay="n1",
        data_centre="lima-1",
        incarnation=5,
        sequence=6,
        nodes=3,
        offset=6,
        version=3,
        relay_offset=7,
        lagging=(HELD,),
    ),
    MoveProgress(
        move="move-1",
        service="caja",
        to_version="2",
        permille=60,
        phase="running",
        deadline=1785000000.5,
        term=2,
        step=3,
        reason="errors",
    ),
)
MESSAGES = (
    *(
        Hello(
            role=role,
            node="n1",
            data_centre="lima-1",
            mesh_address="127.0.0.1:1",
            offset=7,
            digest="00ff",
            interest=("caja",),
        )
        for role in Role
    ),
    PathUpdate(path=("n1", "n2")),
    Redirect(addresses=("127.0.0.1:1",)),
    Delta(after=6, digest="00ff", records=(RawRecord(offset=7, body="{}"),)),
    Snapshot(state=STATE),
    UpToDate(offset=7, digest="00ff"),
    ResyncRequest(offset=6, digest="00fe"),
    InterestUpdate(services=("caja",)),
    InterestUpdate(services=None),
    ClaimRequest(duty="controller", expected_term=1),
    Document(version=3, text="{}"),
    FactBatch(facts=FACTS),
    ConfigChange(
        base=2,
        version=3,
        digest="00ff",
        removed=("00fe",),
        added=('{"type":"limits"}',),
    ),
    SourceUpdate(
        start=6,
        end=8,
        version=3,
        records=(
            SourceRecord(key="rollout/caja", value="{}", offset=6),
            SourceRecord(key="rollout/caja", value=None, offset=7),
        ),
    ),
    FactBatch(
        facts=(Evacuation(data_centre="lima-1", offset=17, in_force=True),)
    ),
    FactBatch(facts=(SourceEra(number=2),)),
    QuotaReport(number=7, counts=(4_000_000_000, 3, 0, 17, -1, 2)),
    QuotaUse(
        sums=(
            QuotaSum(data_centre="lima-1", counts=(17, 5, 1), missing=0.125),
            QuotaSum(data_centre="lima-2"),
        ),
        included=(("n1", 7),),
        pressing=True,
    ),
    Vacancy(slowness=140),
)
ANSWERS = (
    Status(
        answered_by="n1",
        version=3,
        offset=7,
        operator="ana",
        log_available=True,
        controller="n2",
        open_moves=1,
        data_centres=(
            DataCentreStatus(
                name="lima-1",
                heard=True,
                nodes=3,
                version=3,
                offset=6,
                behind=1,
                lagging=("n3",),
            ),
        ),
    ),
    NodeList(offset=7, nodes=(HELD,), unheard=("lima-2",)),
    MoveList(
        moves=tuple(MoveStatus(move=move, verdict="open") for move in MOVES)
    ),
    ActiveArrangement(version=3, arrangement=ARRANGEMENT),
    Done(offset=7, version=3, detail="published"),
    Denied(reason="invalid", detail="no service", advice="mend it"),
    Undecided(detail="no answer", advice="look first"),
)
