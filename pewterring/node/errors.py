"""The one error of this package: settings that cannot be used."""


class SettingsError(Exception):
    """Settings cannot be used: the text names all keys at fault and why. The operator has to mend the file.

    Attributes:
        problems: One text for each problem.
    """

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems
