"""The command group `cedarmill cluster` and its options: replicas, operator name and output format."""

import getpass

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, ReplicaAddresses


@click.group(epilog=EXIT_CODES)
@click.option(
    "-c",
    "--conf",
    type=click.Path(dir_okay=False),
    help="Settings of a node (cedarmill.xml); element <fleet> lists the replicas.",
)
@click.option(
    "--replicas",
    "--keepers",
    "replicas",
    metavar="HOST:PORT,...",
    help="Addresses of replicas, instead of -c; --keepers is the old name.",
)
@click.option("--cluster", metavar="NAME", help="Name of the cluster; required with --replicas.")
@click.option(
    "--as",
    "operator",
    metavar="NAME",
    help="Operator's name, for the cluster's log; default: your user name.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
@click.pass_context
def cluster(
    ctx: click.Context,
    conf: str | None,
    replicas: str | None,
    cluster: str | None,
    operator: str | None,
    as_json: bool,
) -> None:
    """Inspect and operate a cluster through any of its replicas.

    The nodes of a cluster follow the decisions of its replicas. Operators take executors, nodes, replicas and
    zones out of service under limits, release new versions, and move or shed traffic.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml status
      cedarmill cluster -c cedarmill.xml drain executor-7 --reason "new disk" --dry-run
      cedarmill cluster --replicas 127.0.0.1:7101,127.0.0.1:7102 --cluster main release status
    """
    addresses = ReplicaAddresses(conf, replicas, cluster)
    ctx.obj = Console(addresses, as_json, operator or getpass.getuser())
