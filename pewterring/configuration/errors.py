"""The error that this package raises for an invalid configuration or patch."""


class ConfigurationError(Exception):
    """A document is not a valid configuration or patch.

    The document is rejected without any effect; the operator has to correct it.

    Attributes:
        path: The invalid field, for example `routes.1.timeout_ms`; empty if the error concerns the entire
            document.
        reason: Why the field or document is invalid.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason
