"""Errors raised for invalid requests to the traffic plan."""


class TrafficError(ValueError):
    """Base class of the traffic plan's errors; the message gives the reason."""


class InvalidLayoutError(TrafficError):
    """Raised when a zone layout is inconsistent or out of range."""


class NoAssessmentError(TrafficError):
    """Raised when no assessment of the zones has been recorded yet."""


class UnknownZoneError(TrafficError):
    """Raised when a zone name is not in the layout."""
