"""The one error of this package: a document that cannot be used, with the field that makes it so."""


class ConfigurationError(Exception):
    """A document is not a valid configuration or patch; it changes nothing, and the operator has to mend it.

    Attributes:
        path: The field at fault, such as `routes.1.timeout_ms`; empty where the document as a whole is.
        reason: What is wrong with it.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason
