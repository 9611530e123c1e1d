"""Addresses as settings state them: an IPv4 address and a port."""

from dataclasses import dataclass

from pewterring.node.errors import SettingsError
from pewterring.node.keys import LAST_PORT


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(key: str, value: str) -> Address:
    """Reads `IP:port`.

    Raises:
        SettingsError: It is no address; the text names `key`.
    """
    ip, _, port = value.rpartition(":")
    if not ip or not is_port(port):
        raise SettingsError(f"{key} is not an address: {value!r}")
    return Address(ip, int(port))


def is_port(text: str) -> bool:
    """Whether the text is a port that something can listen on."""
    return text.isascii() and text.isdecimal() and 0 < int(text) <= LAST_PORT
