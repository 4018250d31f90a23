"""The group `cedarmill cluster` and its options: whom to ask, in whose name, and how to print."""

import getpass

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, ReplicaAddresses


@click.group(epilog=EXIT_CODES)
@click.option(
    "-c",
    "--conf",
    type=click.Path(dir_okay=False),
    help="A node's settings (cedarmill.xml), whose <fleet> names the replicas.",
)
@click.option(
    "--replicas",
    "--keepers",
    "replicas",
    metavar="HOST:PORT,...",
    help="Addresses of replicas, instead of -c; --keepers is the old name.",
)
@click.option("--cluster", metavar="NAME", help="The cluster's name; with --replicas.")
@click.option(
    "--as", "operator", metavar="NAME", help="Who asks, for the cluster's log; your user name by default."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of lines for people.")
@click.pass_context
def cluster(
    ctx: click.Context,
    conf: str | None,
    replicas: str | None,
    cluster: str | None,
    operator: str | None,
    as_json: bool,
) -> None:
    """Look at a cluster and operate it: whichever replica answers is asked.

    Nodes of a cluster follow what its replicas agree on. Operators take executors, nodes, replicas and
    zones out of service under limits, release new versions, and move or refuse traffic.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml status
      cedarmill cluster -c cedarmill.xml drain executor-7 --reason "new disk" --dry-run
      cedarmill cluster --replicas 127.0.0.1:7101,127.0.0.1:7102 --cluster main release status
    """
    addresses = ReplicaAddresses(conf, replicas, cluster)
    ctx.obj = Console(addresses, as_json, operator or getpass.getuser())
