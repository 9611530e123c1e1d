"""The version of the files' content, which rises when an older program could not read it rightly."""

from pewterring.storage.errors import UnknownFormatError

FORMAT = 1


def check_format(file: str, found: int) -> None:
    """Refuses files of later versions: JSON that is read without the fields it has more is half taken."""
    if found > FORMAT:
        raise UnknownFormatError(file, found, FORMAT)
