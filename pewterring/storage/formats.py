"""The version of the files' content, which rises when an earlier program could not read it rightly."""

from pewterring.storage.errors import UnknownFormatError

FORMAT = 1  # of logs and snapshots; files without the field are of format 1


def check_format(file: str, found: int) -> None:
    """Refuses files of later versions: read without its additional fields, a record would be taken by half.

    Raises:
        UnknownFormatError: `found` is later than `FORMAT`.
    """
    if found > FORMAT:
        raise UnknownFormatError(file, found, FORMAT)
