"""Errors of this package; each message is one sentence for an operator."""


class ClusterError(ValueError):
    """Base of the errors of the cluster's state machine and protocol code."""


class RequestRejected(ClusterError):
    """Raised when an operator's request conflicts with the current state; the state is left unchanged."""


class UnknownCommand(ClusterError):
    """Raised when the command type of a log entry has no handler."""
