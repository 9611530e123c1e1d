"""Golden cases: request log records, one for each reason and one with all fields set."""

import msgspec

from pewterring.observability.request_log import RECORD_FORMAT, REQUEST_EVENT, Reason, RequestRecord

GOLDEN_FILE = "request-log.txt"
FULL_RECORD = RequestRecord(
    format=RECORD_FORMAT,
    request="7",
    route="chat",
    reason=Reason.WORKER_FAILED,
    status=502,
    target_s=0.25,
    tokens=5000,
    prefill_tokens=400,
    admitted_s=0.01,
    sent_s=0.02,
    expected_wait_s=0.03,
    first_s=0.5,
    end_s=1.5,
    pause_s=0.125,
    attempts=2,
    worker="w1",
    in_flight=3,
    failure="reset",
)
RECORDS = [
    FULL_RECORD,
    *(RequestRecord(RECORD_FORMAT, str(number), "code", reason) for number, reason in enumerate(Reason)),
]


def encoded() -> str:
    """Returns the records as lines of JSON, each after the name of its event."""
    return "".join(f"{REQUEST_EVENT} {msgspec.json.encode(record).decode()}\n" for record in RECORDS)


def decoded(text: str) -> list[RequestRecord]:
    """Parses the lines that `encoded` returns."""
    prefix = f"{REQUEST_EVENT} "
    return [msgspec.json.decode(line.removeprefix(prefix), type=RequestRecord) for line in text.splitlines()]
