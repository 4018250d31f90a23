"""`cedarmill ...`: a module for each sub-command, thin; what a sub-command needs is imported when it runs."""

import click

from cedarmill.cli import conf, health, lab, node, replica, sim, supervisor
from cedarmill.cli import lab_scale as lab_scale  # adds its command to the group as it is imported
from cedarmill.cli.cluster import cluster
from cedarmill.cli.groups import OneLineErrors, add_with_old_name

EXIT_CODES = "Exit codes: 0 done; 1 a run found something wrong; 2 bad input or use, said in one line."


@click.group(cls=OneLineErrors, epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cedarmill", prog_name="cedarmill", message="%(prog)s %(version)s")
def main() -> None:
    """Run and operate a load balancer for requests that occupy slots of executors.

    A node takes clients' requests and sends each to an executor. Nodes may join a cluster, whose replicas
    agree on what all nodes have to follow.

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
