"""What the traffic plan refuses, as one sentence each."""


class TrafficError(ValueError):
    """What was asked of the traffic plan is not possible; the text says why."""


class InvalidLayoutError(TrafficError):
    """The layout of zones contradicts itself."""


class NoAssessmentError(TrafficError):
    """Nothing is known of zones yet."""


class UnknownZoneError(TrafficError):
    """There is no such zone."""
