"""Errors of the operators' side; each message is one sentence for an operator."""

from http import HTTPStatus


class AdminError(Exception):
    """Base of this package's errors."""


class RequestRejectedError(AdminError):
    """A request of the admin API is answered with an error before anything is done."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class DocumentError(AdminError, ValueError):
    """A document cannot be used; base of the errors of sealed documents."""


class DocumentFormatError(DocumentError):
    """A document has no header, or is of a newer format."""


class ForeignDocumentError(DocumentError):
    """A document is of another kind or of another node."""


class DamagedDocumentError(DocumentError):
    """A document is incomplete or damaged, or there is none."""


class DocumentAgeError(DocumentError):
    """A document is too old to be believed, or was written in the future."""
