"""The old names of the snapshot, until the packages above are renamed."""

from cedarmill.decisions.snapshot import ExecutorSnapshot as WorkerMemory
from cedarmill.decisions.snapshot import Snapshot as Memory
from cedarmill.decisions.snapshot import held_now as out
from cedarmill.decisions.snapshot import restore as recall
from cedarmill.decisions.snapshot import restore_executor as recall_worker
from cedarmill.decisions.snapshot import take_snapshot as remember

__all__ = ["Memory", "WorkerMemory", "out", "recall", "recall_worker", "remember"]
