"""The `explain` and `causes` commands, which analyse log files."""

import json
import sys
from pathlib import Path

import click

from marjoramyard.ctl import request_traces

EXIT_NOT_FOUND = 1

FILES = click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)


def _read(files: tuple[Path, ...]) -> list[request_traces.Line]:
    lines: list[request_traces.Line] = []
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as text:
            lines += request_traces.read_lines(text)
    return lines


@click.command()
@click.argument("request_id")
@FILES
@click.pass_obj
def explain(session, request_id: str, files: tuple[Path, ...]) -> None:
    """Shows the trace of a request from the logs of several processes."""
    trace = request_traces.trace_of(request_id, _read(files))
    if not trace:
        click.echo(
            f"no log line of request {request_id} in these files; add the "
            "logs of all gateways that ran at that time",
            err=True,
        )
        sys.exit(EXIT_NOT_FOUND)
    for line in trace:
        as_json = session.output == "json"
        click.echo(
            json.dumps(line) if as_json else request_traces.format_line(line)
        )


@click.command()
@FILES
@click.pass_obj
def causes(session, files: tuple[Path, ...]) -> None:
    """Counts the causes of failed requests, the most frequent first."""
    counts = request_traces.causes(_read(files))
    if session.output == "json":
        click.echo(json.dumps(dict(counts)))
        return
    for cause, count in counts:
        click.echo(f"{count:8d}  {cause}")


def setup(main: click.Group) -> None:
    """Adds the commands."""
    main.add_command(explain)
    main.add_command(causes)
