"""One request of a client, over all its tries."""


class ClientRequest:
    """What is asked for, and how far it has come; `size` is in slot-seconds."""

    __slots__ = ("weight", "tenant", "first_at", "tries", "size", "node", "done", "attempts")

    def __init__(self, weight: int, tenant: int, first_at: float, size: float, node: int) -> None:
        self.weight, self.tenant, self.first_at, self.size, self.node = weight, tenant, first_at, size, node
        self.tries = 1  # of the client
        self.attempts = 0  # of the node, in this try
        self.done = False
