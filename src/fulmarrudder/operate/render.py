"""Renders answers as tables for people."""

import datetime
from functools import singledispatch

from fulmarrudder.operate.answer import (
    ActiveArrangement,
    Answer,
    Denied,
    Done,
    MoveList,
    NodeList,
    Status,
    Undecided,
)


@singledispatch
def render(answer: Answer) -> str:
    """Renders an answer as text without a trailing newline."""
    raise TypeError(f"not an answer: {type(answer).__name__}")


@render.register
def _(answer: Status) -> str:
    lines = [
        f"version {answer.version} by {answer.operator or 'nobody'},"
        f" offset {answer.offset}, answered by {answer.answered_by}",
        f"log {'available' if answer.log_available else 'not available'},"
        f" controller {answer.controller or 'nobody'},"
        f" open moves {answer.open_moves}",
        "",
    ]
    rows = []
    for status in answer.data_centres:
        rows.append(
            (
                status.name,
                "yes" if status.heard else "NO",
                str(status.nodes) if status.heard else "?",
                str(status.version) if status.heard else "?",
                str(status.behind) if status.heard else "?",
                ", ".join(status.lagging) or "-",
            )
        )
    titles = ("DATA CENTRE", "HEARD", "NODES", "VERSION", "BEHIND", "LAGGING")
    return "\n".join(lines + _format_table(titles, rows))


@render.register
def _(answer: NodeList) -> str:
    rows = [
        (
            status.node,
            status.data_centre,
            str(status.version),
            str(status.offset),
            str(max(0, answer.offset - status.offset)),
        )
        for status in answer.nodes
    ]
    titles = ("NODE", "DATA CENTRE", "VERSION", "OFFSET", "BEHIND")
    lines = _format_table(titles, rows)
    if answer.unheard:
        lines += ["", f"not heard: {', '.join(answer.unheard)}"]
    return "\n".join(lines)


@render.register
def _(answer: MoveList) -> str:
    if not answer.moves:
        return "no moves"
    rows = []
    for status in answer.moves:
        move = status.move
        rows.append(
            (
                move.id,
                move.service,
                f"{move.from_version} -> {move.to_version}",
                f"{move.permille / 10:.1f}%",
                format_time(move.deadline),
                status.verdict,
            )
        )
    titles = ("MOVE", "SERVICE", "VERSIONS", "SHARE", "DEADLINE", "VERDICT")
    return "\n".join(_format_table(titles, rows))


@render.register
def _(answer: ActiveArrangement) -> str:
    services = [
        (s.name, ", ".join(s.target_versions), s.initial)
        for s in answer.arrangement.services
    ]
    routes = [
        (
            r.name,
            r.host or "*",
            r.prefix,
            r.service,
            "yes" if r.idempotent else "by method",
            str(r.timeout_ms),
            ", ".join(r.callers) or "*",
        )
        for r in answer.arrangement.routes
    ]
    lines = [f"version {answer.version}", ""]
    lines += _format_table(("SERVICE", "TARGET VERSIONS", "INITIAL"), services)
    lines.append("")
    lines += _format_table(
        (
            "ROUTE",
            "HOST",
            "PREFIX",
            "SERVICE",
            "IDEMPOTENT",
            "TIMEOUT MS",
            "CALLERS",
        ),
        routes,
    )
    return "\n".join(lines)


@render.register
def _(answer: Done) -> str:
    return f"{answer.detail}: offset {answer.offset}, version {answer.version}"


@render.register
def _(answer: Denied) -> str:
    return f"refused ({answer.reason}): {answer.detail}\n{answer.advice}"


@render.register
def _(answer: Undecided) -> str:
    return f"not known: {answer.detail}\n{answer.advice}"


def format_time(seconds: float) -> str:
    """Formats wall-clock seconds as a UTC date and time."""
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%SZ")


def _format_table(
    titles: tuple[str, ...], rows: list[tuple[str, ...]]
) -> list[str]:
    widths = [len(title) for title in titles]
    for row in rows:
        widths = [
            max(w, len(cell)) for w, cell in zip(widths, row, strict=True)
        ]
    return [_format_row(row, widths) for row in (titles, *rows)]


def _format_row(row: tuple[str, ...], widths: list[int]) -> str:
    cells = [cell.ljust(w) for cell, w in zip(row, widths, strict=True)]
    return "  ".join(cells).rstrip()
