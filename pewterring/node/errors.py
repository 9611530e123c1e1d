"""The error that this package raises for an unusable settings file."""


class SettingsError(Exception):
    """The settings cannot be used. The message lists every problem; the operator has to correct the file.

    Attributes:
        problems: One message per problem, most of which name a key.
    """

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems
