"""The one error of this package."""


class MembershipError(ValueError):
    """A setting or a member's number makes no fleet; the caller has to mend it before it starts."""
