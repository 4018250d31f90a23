"""`cedarmill cluster replicas|backup`: the replicas themselves, and their state in a file."""

from pathlib import Path

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console


@click.command(epilog=EXIT_CODES)
@click.argument("act", metavar="ACTION", type=click.Choice(["add", "remove", "lead"]))
@click.argument("name")
@click.option("--address", default="", help="Where the others reach it, HOST:PORT; with add.")
@click.option("--disk", default="", help="The name of its disk, as its log tells it; with add.")
@click.pass_obj
def replicas(console: Console, act: str, name: str, address: str, disk: str) -> None:
    """Add or remove a replica, or make it the leader.

    ACTION is add (NAME becomes a replica), remove (it is one no more) or lead (it becomes the leader).

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml replicas remove replica-1
      cedarmill cluster -c cedarmill.xml replicas add replica-3 --address 10.0.0.4:7001 --disk 9d21c0
      cedarmill cluster -c cedarmill.xml replicas lead replica-2
    """
    from cedarmill.cluster.messages import ChangeReplicas, SubmitReply

    reply = console.ask(ChangeReplicas(act, name, address, disk))
    assert isinstance(reply, SubmitReply)
    console.finish(reply)


@click.command(epilog=EXIT_CODES)
@click.argument("path", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def backup(console: Console, path: Path) -> None:
    """Write the cluster's agreed state into the file PATH.

    `cedarmill replica --init --restore PATH` begins a new cluster with it.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml backup cluster.backup
    """
    import msgspec

    from cedarmill.cluster.messages import ReadReply, ReadRequest
    from cedarmill.cluster.raft.messages import Snapshot
    from cedarmill.store import files, snapshots

    reply = console.ask(ReadRequest("backup"))
    assert isinstance(reply, ReadReply)
    snapshot = msgspec.msgpack.decode(reply.body, type=Snapshot)
    files.replace_file(str(path), snapshots.encode_checksummed(snapshot))
    size = len(reply.body)
    console.show(
        {"index": snapshot.index, "bytes": size},
        [f"{path}: agreed up to entry {snapshot.index}, {size} bytes"],
    )
