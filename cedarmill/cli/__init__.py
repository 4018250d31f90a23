"""`cedarmill ...`: one file a sub-command, thin; what a sub-command needs is imported when it runs."""

import click

from cedarmill.cli import cluster, conf, health, lab, node, replica, sim
from cedarmill.cli import cluster_load as cluster_load  # adds its commands to the group as it is imported
from cedarmill.cli import cluster_zones as cluster_zones
from cedarmill.cli import lab_scale as lab_scale

EXIT_CODES = "Exit codes: 0 done; 1 a run found something wrong; 2 bad input or use, said in one line."


class _OneLine(click.Group):
    """Ends bad input, wherever it shows, with one line and exit code 2."""

    def invoke(self, ctx: click.Context):
        try:
            return super().invoke(ctx)
        except BrokenPipeError:  # the reader has seen enough: click ends quietly
            raise
        except (ValueError, OSError) as error:  # ConfError and its like name file, line or field
            raise click.ClickException(" ".join(str(error).split())) from None


click.ClickException.exit_code = 2  # as usage errors have: both are bad input


@click.group(cls=_OneLine, epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cedarmill", prog_name="cedarmill", message="%(prog)s %(version)s")
def main() -> None:
    """A balancer node for jobs, its settings, and its laboratory.

    \b
    Examples:
      LB_CONFIG=example/config.json cedarmill node
      cedarmill conf check deploy/cedarmill.xml
      cedarmill lab run rehearsal
    """


for command in (
    node.node,
    replica.keeper,
    replica.steward,
    cluster.fleet,
    sim.sim,
    conf.conf,
    health.health,
    lab.lab,
):
    main.add_command(command)
