"""The members that may join the control group."""

from pewterring.control.join_requests import JOIN_REQUEST_TTL_S, JoinRequests

FIRST, FIRST_WITH_NEW_DISK, OTHER = "10.0.0.3#seed", "10.0.0.3#new", "10.0.0.4#x"


def test_only_the_newest_request_of_an_address_is_kept() -> None:
    requests = JoinRequests()
    requests.record(0.0, FIRST)
    requests.record(0.5, FIRST_WITH_NEW_DISK)
    requests.record(0.5, OTHER)
    candidates = requests.candidates(1.0)
    assert candidates.joining == (FIRST_WITH_NEW_DISK, OTHER)
    assert candidates.current_names == {"10.0.0.3": FIRST_WITH_NEW_DISK, "10.0.0.4": OTHER}
    assert not candidates.decommissioning


def test_a_request_that_is_not_repeated_expires() -> None:
    requests = JoinRequests()
    requests.record(0.0, FIRST)
    requests.record(1.0, OTHER)
    assert requests.candidates(JOIN_REQUEST_TTL_S).joining == (OTHER,)


def test_a_new_leader_begins_without_requests() -> None:
    requests = JoinRequests()
    requests.record(0.0, FIRST)
    requests.start()
    assert requests.candidates(0.0).joining == ()
