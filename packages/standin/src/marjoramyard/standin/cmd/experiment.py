"""`marjoramctl experiment`: compares placement policies in simulation."""

from pathlib import Path

import click

DEFAULT_POLICIES = ("broker", "prefix-hash", "least-connections")


@click.command()
@click.argument(
    "deployment", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    default=DEFAULT_POLICIES,
    show_default=True,
    help="May be repeated; an unknown name lists the known ones.",
)
@click.option("--seeds", default=8, show_default=True, help="Number of seeds.")
@click.option("--first-seed", default=0, show_default=True)
@click.option(
    "--jobs", default=4, show_default=True, help="Parallel processes."
)
@click.option(
    "--plot",
    type=click.Path(path_type=Path),
    help="Write plots to this PNG file.",
)
@click.pass_obj
def experiment(
    session,
    deployment: Path,
    policies: tuple[str, ...],
    seeds: int,
    first_seed: int,
    jobs: int,
    plot: Path | None,
) -> None:
    """Simulates a deployment under several placement policies.

    DEPLOYMENT is a YAML file; see examples/experiments/. No requests are
    sent. The table shows means over the seeds with 95% confidence intervals.
    "whole", "windows" and "workspaces" are the shares of the attainable worth
    that callers earned in the complete run, in its worst windows and in the
    worst-served workspaces; "goal" is their weighted mean.
    """
    # Imported here because the other commands don't need the simulation.
    from marjoramyard.standin.experiment import report

    try:
        described, results = report.run_with_progress(
            deployment,
            list(policies),
            list(range(first_seed, first_seed + seeds)),
            jobs,
        )
    except (KeyError, ValueError) as error:
        raise click.UsageError(str(error.args[0])) from error
    as_json = session is not None and session.output == "json"
    report.print_summaries(results, as_json)
    if plot is not None:
        report.draw_plot(described, results, plot)


def setup(main: click.Group) -> None:
    """Registers the command."""
    main.add_command(experiment)
