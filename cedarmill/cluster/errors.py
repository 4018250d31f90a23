"""The errors of this package: one base, each with a sentence that says what went wrong."""


class ClusterError(ValueError):
    """Base of all errors of the cluster's cores; its text is one sentence for an operator."""


class RequestRejected(ClusterError):
    """An operator's request that cannot be carried out as things stand; nothing was changed by it."""


class UnknownCommand(ClusterError):
    """An entry of the log whose command type has no handler."""
