"""Parses network addresses in settings: an IPv4 address and a port."""

from dataclasses import dataclass

from pewterring.node.errors import SettingsError
from pewterring.node.keys import LAST_PORT


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a TCP or UDP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(key: str, value: str) -> Address:
    """Parses the value `IP:port` of the settings key `key`.

    Raises:
        SettingsError: The value is not an address.
    """
    ip, _, port = value.rpartition(":")
    if not ip or not is_port(port):
        raise SettingsError(f"{key} is not an address: {value!r}")
    return Address(ip, int(port))


def is_port(text: str) -> bool:
    """Whether the text is a port number from 1 to `LAST_PORT`."""
    return text.isascii() and text.isdecimal() and 0 < int(text) <= LAST_PORT
