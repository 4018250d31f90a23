"""The commands `cedarmill cluster replicas|backup`: membership of replicas, backups of their state."""

from pathlib import Path

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console


@click.command(epilog=EXIT_CODES)
@click.argument("action", metavar="ACTION", type=click.Choice(["add", "remove", "lead"]))
@click.argument("name")
@click.option("--address", default="", help="With add: HOST:PORT at which other replicas reach the new one.")
@click.option("--disk", default="", help="With add: name of the new replica's disk, as printed in its log.")
@click.pass_obj
def replicas(console: Console, action: str, name: str, address: str, disk: str) -> None:
    """Add or remove a replica, or make it the leader.

    ACTION is add (NAME becomes a replica), remove (NAME stops being one) or lead (NAME becomes the leader).

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml replicas remove replica-1
      cedarmill cluster -c cedarmill.xml replicas add replica-3 --address 10.0.0.4:7001 --disk 9d21c0
      cedarmill cluster -c cedarmill.xml replicas lead replica-2
    """
    from cedarmill.cluster.messages import ChangeReplicas, SubmitReply

    reply = console.send_request(ChangeReplicas(action, name, address, disk))
    assert isinstance(reply, SubmitReply)
    console.print_reply_and_exit(reply)


@click.command(epilog=EXIT_CODES)
@click.argument("path", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def backup(console: Console, path: Path) -> None:
    """Write the replicated state of the cluster to the file PATH.

    `cedarmill replica --init --restore PATH` starts a new cluster from that file.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml backup cluster.backup
    """
    import msgspec

    from cedarmill.cluster.messages import ReadReply, ReadRequest
    from cedarmill.cluster.raft.messages import Snapshot
    from cedarmill.store import files, snapshots

    reply = console.send_request(ReadRequest("backup"))
    assert isinstance(reply, ReadReply)
    snapshot = msgspec.msgpack.decode(reply.body, type=Snapshot)
    files.replace_file(str(path), snapshots.encode_checksummed(snapshot))
    size = len(reply.body)
    console.print_result(
        {"index": snapshot.index, "bytes": size},
        [f"{path}: agreed up to entry {snapshot.index}, {size} bytes"],
    )
