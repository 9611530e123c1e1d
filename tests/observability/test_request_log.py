"""The log record of a late, rejected or failed request: the field names in the log are stable."""

import msgspec

from pewterring.observability.request_log import RECORD_FORMAT, Reason, RequestRecord

LOG_NAMES = (
    "format", "request", "route", "reason", "status", "aim_s", "tokens", "to_read", "admitted_s", "sent_s",
    "waiting_s", "first_s", "end_s", "pause_s", "attempts", "worker", "out", "failure",
)  # fmt: skip


def test_a_record_is_logged_with_the_stable_names_and_can_be_decoded() -> None:
    record = RequestRecord(RECORD_FORMAT, "9c41", "chat", Reason.PROMPT_NOT_CACHED, target_s=0.4, in_flight=3)
    fields = record.log_fields()
    assert tuple(fields) == LOG_NAMES
    assert (fields["aim_s"], fields["out"], fields["reason"]) == (0.4, 3, "prompt_not_kept")
    assert msgspec.json.decode(msgspec.json.encode(fields), type=RequestRecord) == record
