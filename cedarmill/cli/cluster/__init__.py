"""The commands `cedarmill cluster ...` for operators of a cluster: one module per group of commands."""

from cedarmill.cli.cluster import drains, load, overview, releases, replicas, zones
from cedarmill.cli.cluster.group import cluster
from cedarmill.cli.groups import add_with_old_name

__all__ = ["cluster"]

for command in (
    *overview.COMMANDS,
    *drains.COMMANDS,
    *zones.COMMANDS,
    replicas.backup,
    releases.release,
    load.load,
    load.budgets,
):
    cluster.add_command(command)
add_with_old_name(cluster, replicas.replicas, "keepers")
add_with_old_name(cluster, load.shed, "cut")
