"""Errors of the admin package; each message is one sentence for an operator."""

from http import HTTPStatus


class AdminError(Exception):
    """Base class of this package's errors."""


class RequestRejectedError(AdminError):
    """An admin API request is invalid and is answered with an error status."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class DocumentError(AdminError, ValueError):
    """A sealed document cannot be used; base class of the errors below."""


class DocumentFormatError(DocumentError):
    """A document has no valid header, or its format is newer than this program's."""


class ForeignDocumentError(DocumentError):
    """A document belongs to another node or is of another kind."""


class DamagedDocumentError(DocumentError):
    """A document is missing, incomplete or damaged."""


class DocumentAgeError(DocumentError):
    """A document is too old to be used, or its timestamp lies in the future."""
