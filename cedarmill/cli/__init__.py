"""The `cedarmill` command line: one module per sub-command, which imports its dependencies when it runs."""

import click

from cedarmill.cli import conf, health, lab, node, replica, sim, supervisor
from cedarmill.cli import lab_scale as lab_scale  # the import adds the command `scale` to `lab`
from cedarmill.cli.cluster import cluster
from cedarmill.cli.groups import OneLineErrorGroup, add_with_old_name

EXIT_CODES = (
    "Exit codes: 0 success; 1 a run reported a failure; 2 invalid input or usage, with a one-line error."
)


@click.group(
    cls=OneLineErrorGroup, epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.version_option(package_name="cedarmill", prog_name="cedarmill", message="%(prog)s %(version)s")
def main() -> None:
    """Run and operate a load balancer for requests that occupy slots of executors.

    A node accepts clients' requests and forwards each to an executor. Nodes may join a cluster, whose
    replicas agree on the decisions that all nodes follow.

    \b
    Examples:
      LB_CONFIG=example/config.json cedarmill node
      cedarmill conf check deploy/cedarmill.xml
      cedarmill cluster -c deploy/cedarmill.xml status
      cedarmill lab run rehearsal
    """


add_with_old_name(main, replica.replica, "keeper")
add_with_old_name(main, supervisor.supervisor, "steward")
add_with_old_name(main, cluster, "fleet")
for command in (node.node, sim.sim, conf.conf, health.health, lab.lab):
    main.add_command(command)
