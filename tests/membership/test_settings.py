"""Invalid settings are rejected, and the error names them."""

import pytest

from pewterring.membership.errors import MembershipError
from pewterring.membership.settings import ProtocolSettings
from tests.membership.instances import instance


def test_invalid_settings_are_named() -> None:
    with pytest.raises(MembershipError, match="period_s must be above 0"):
        ProtocolSettings(period_s=0.0)
    with pytest.raises(MembershipError, match="member 4 of 4"):
        instance(4)
