"""The version of the file format. It is incremented when earlier programs would misread new files."""

from pewterring.storage.errors import UnknownFormatError

FORMAT = 1  # of log segments and snapshots; files without the field have format 1


def check_format(file: str, found: int) -> None:
    """Rejects files of later versions, whose additional fields this version would silently ignore.

    Raises:
        UnknownFormatError: `found` is later than `FORMAT`.
    """
    if found > FORMAT:
        raise UnknownFormatError(file, found, FORMAT)
