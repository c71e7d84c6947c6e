"""The `marjoramctl` command."""

import importlib
import importlib.util

import click

from marjoramyard.ctl.session import Session

COMMAND_MODULES = (
    "marjoramyard.ctl.cmd.keys",
    "marjoramyard.ctl.cmd.bundles",
    "marjoramyard.ctl.cmd.audits",
    "marjoramyard.ctl.cmd.views",
    "marjoramyard.ctl.cmd.zones",
    "marjoramyard.ctl.cmd.cluster",
    "marjoramyard.ctl.cmd.explain",
)

OPTIONAL_MODULES = ("marjoramyard.standin.cmd.experiment",)
"""Command modules of optional packages; skipped if not installed."""


@click.group(context_settings={"auto_envvar_prefix": "MARJORAMCTL"})
@click.option(
    "--control",
    "hosts",
    multiple=True,
    default=("127.0.0.1:9001",),
    show_default=True,
    help="Internal address of a control host; may be given several times.",
)
@click.option("--secret-file", default="secret", show_default=True)
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
@click.pass_context
def main(
    context: click.Context,
    hosts: tuple[str, ...],
    secret_file: str,
    output: str,
) -> None:
    """Operates and audits a marjoramyard fleet.

    Exit codes: 0 success, 1 refused, 2 invalid usage, 3 no leader reachable,
    4 conflict with the current state.
    """
    context.obj = Session(list(hosts), secret_file, output)


def _is_installed(module: str) -> bool:
    package = module.rpartition(".")[0].rpartition(".")[0]
    return importlib.util.find_spec(package) is not None


for module in COMMAND_MODULES:
    importlib.import_module(module).setup(main)
for module in filter(_is_installed, OPTIONAL_MODULES):
    importlib.import_module(module).setup(main)
