"""`marjoramctl explain` and `causes`: what logs tell of failed requests."""

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
    """Tells what became of a request, from the logs of several processes."""
    story = request_traces.trace_of(request_id, _read(files))
    if not story:
        click.echo(
            f"no line of {request_id} in these files; add the logs of all "
            "gateways of its time",
            err=True,
        )
        sys.exit(EXIT_NOT_FOUND)
    for line in story:
        as_json = session.output == "json"
        click.echo(json.dumps(line) if as_json else request_traces.render(line))


@click.command()
@FILES
@click.pass_obj
def causes(session, files: tuple[Path, ...]) -> None:
    """Counts why requests failed, the most frequent cause first."""
    found = request_traces.causes(_read(files))
    if session.output == "json":
        click.echo(json.dumps(dict(found)))
        return
    for cause, count in found:
        click.echo(f"{count:8d}  {cause}")


def setup(main: click.Group) -> None:
    """Registers the commands."""
    main.add_command(explain)
    main.add_command(causes)
