"""The old name of the snapshot's module, until the packages above are renamed."""

from cedarmill.decisions.snapshot import Memory, WorkerMemory, out, recall, recall_worker, remember

__all__ = ["Memory", "WorkerMemory", "out", "recall", "recall_worker", "remember"]
