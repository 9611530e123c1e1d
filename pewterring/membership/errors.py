"""The error of the membership package."""


class MembershipError(ValueError):
    """A protocol setting or a member's number is invalid; the caller must correct it before the start."""
