"""A client's request and the state of its tries."""


class ClientRequest:
    """Holds the properties and progress of one request; `size` is in slot-seconds."""

    __slots__ = ("weight", "tenant", "first_at", "tries", "size", "node", "is_done", "attempts")

    def __init__(self, weight: int, tenant: int, first_at: float, size: float, node: int) -> None:
        self.weight, self.tenant, self.first_at, self.size, self.node = weight, tenant, first_at, size, node
        self.tries = 1  # sent by the client
        self.attempts = 0  # made by the node in the current try
        self.is_done = False
