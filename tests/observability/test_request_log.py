"""The record of a request that ended badly: its fields keep their names in the log."""

import msgspec

from pewterring.observability.request_log import RECORD_FORMAT, Reason, RequestRecord

LOG_NAMES = (
    "format", "request", "route", "reason", "status", "aim_s", "tokens", "to_read", "admitted_s", "sent_s",
    "waiting_s", "first_s", "end_s", "pause_s", "attempts", "worker", "out", "failure",
)  # fmt: skip


def test_fields_are_logged_by_their_names_in_the_log_and_read_back() -> None:
    record = RequestRecord(RECORD_FORMAT, "9c41", "chat", Reason.PROMPT_NOT_CACHED, target_s=0.4, in_flight=3)
    fields = record.log_fields()
    assert tuple(fields) == LOG_NAMES
    assert (fields["aim_s"], fields["out"], fields["reason"]) == (0.4, 3, "prompt_not_kept")
    assert msgspec.json.decode(msgspec.json.encode(fields), type=RequestRecord) == record
