"""Codec and main loop of the simulator adapter, with hand-written batches, and tests/limits.py."""

import base64
import io
import os
import subprocess
import sys
from pathlib import Path

import pytest

from pewterring.standalone.policy import interface
from pewterring.standalone.simulator import codec
from pewterring.standalone.simulator.__main__ import serve
from tests import limits

ROOT = Path(__file__).resolve().parents[2]
INIT = (
    "init\twho=gatekeeper_{n}\tsalt=12345\taz=floor-2\tdiscovery=push\tfleet_size=2\tme={n}"
    "\tguarantees.cold=17000000000\tguarantees.cold_share=0.2\tguarantees.fall_multiple=2.5"
    "\tguarantees.stop_sending_within=2000000000\tguarantees.tip_after=3000000000"
    "\tpolicy_limits.cancel=true\tpolicy_limits.max_attempts=4\tpolicy_limits.may_duplicate=true"
    "\tpolicy_limits.max_retry_after=2000000000\tpolicy_limits.peers=true"
    "\tpolicy_limits.probing=true\tpolicy_limits.retry_after=true\tprices.cross_zone=0.0066"
    "\tprofiles.count=1\tprofiles.0.deadline=5000000000\tprofiles.0.effect=token"
    "\tprofiles.0.gain=1.0\tprofiles.0.group=cell\tprofiles.0.name=tour-lookup"
    "\tprofiles.0.objective=1500000000\tprofiles.0.repeat_window=5000000000\tprofiles.0.stream=false"
    "\tspecifics.mail_per_s=60.0\tsomething.new=4\ttiers_of_service.count=1"
    "\ttiers_of_service.0.depth=2.0\ttiers_of_service.0.name=basic\ttiers_of_service.0.refill=0.67"
    "\ttiers_of_service.0.cap_rate=0.0\tweight_kind=rough\n"
    "view\twho=gatekeeper_{n}\tform=warm_copy\tseq_no=41\tnodes_list=2\n"
    "m\tworker=51530247\thall=floor-2\tkind=std\tbay=0\tmode=SERVING\trating=1\n"
    "m\tworker=747639282\thall=floor-3\tkind=std\tbay=0\tmode=SERVING\trating=1.5\tcame_up=6100000000\n"
)
REQUEST = (
    "inbound\twho=gatekeeper_{n}\trequest_id={id}\tprofile=tour-lookup\tpackage=basic\taccount=7"
    "\tnot_after=38652250000\tquota_units=2\tset_size=2\tset_from=1\tnovel=3\n"
)
PEER_MESSAGE = base64.b64encode(b"nonsense").decode()


def batch(now: int, *lines: str) -> str:
    return f"turn\ttime={now}\n" + "".join(lines) + "eof_batch\n"


START = batch(0) + batch(33_000_000_000, INIT.format(n=0), INIT.format(n=1))


def run(text: str) -> list[list[str]]:
    output = io.StringIO()
    serve(iter(text.splitlines(keepends=True)), output)
    return [reply.splitlines() for reply in output.getvalue().split("done\n")[:-1]]


def test_each_batch_gets_a_reply_and_an_empty_batch_an_empty_one() -> None:
    replies = run(START)
    assert len(replies) == 2
    assert replies[0] == []
    assert all(line.startswith("timer\twho=gatekeeper_") for line in replies[1])


def test_a_request_is_forwarded_and_its_failed_attempt_is_handled() -> None:
    text = START + batch(33_100_000_000, REQUEST.format(n=0, id=2902179685503428))
    (line,) = run(text)[2]
    tag, *pairs = line.split("\t")
    fields = dict(pair.split("=") for pair in pairs)
    assert tag == "forward"
    assert fields["request_id"] == "2902179685503428"
    failed_attempt = (
        f"closed_attempt\twho=gatekeeper_0\trequest_id=2902179685503428\tno_more=0"
        f"\ttime_taken=18500000\tworker={fields['worker']}\tstate_code=INTERNAL\ttrial=0\n"
    )
    actions = run(text + batch(33_120_000_000, failed_attempt))[3]
    assert actions[0].startswith(("forward", "end_failed"))


def test_a_killed_gateway_loses_its_state_and_can_restart() -> None:
    killed = "killed\twho=gatekeeper_0\n"
    text = START + batch(34_000_000_000, REQUEST.format(n=0, id=5), killed, INIT.format(n=0))
    text += batch(34_100_000_000, "expired\twho=gatekeeper_0\trequest_id=5\n")
    assert run(text)[3] == []


def test_every_other_event_is_parsed() -> None:
    lines = [
        f"mail\twho=gatekeeper_0\tneighbour=1\tmsg={PEER_MESSAGE}\n",
        "mail\twho=gatekeeper_0\tneighbour=1\tmsg=-\n",
        "echo\twho=gatekeeper_0\tworker=51530247\tstate_code=OK\ttime_taken=1000000\tmetrics=a:1,b:2\n",
        "added\twho=gatekeeper_0\ttime_taken=2150000\tstate_code=OK\tslot_name=9041552\tlevel=38\n",
        "accepted\twho=gatekeeper_0\trequest_id=4\ttrial=0\tworker=51530247\ttime_taken=5\n",
        "elapsed\twho=gatekeeper_0\tlabel=1\n",
        "view\twho=gatekeeper_0\tform=lost\tseq_no=41\n",
        "view\twho=gatekeeper_0\tform=incr\tseq_no=42\tnodes_list=1\n"
        "m\tworker=51530247\thall=floor-2\tkind=std\tbay=0\tmode=DELETED\n",
    ]
    actions = run(START + batch(34_000_000_000, *lines))[2]
    assert [line.split("\t")[0] for line in actions] == ["signal", "timer"]


@pytest.mark.parametrize(
    "text",
    [
        "hello\n",
        "turn\ttime=1\nnonsense\twho=gatekeeper_0\neof_batch\n",
        "turn\ttime=1\nelapsed\twho=gatekeeper_0\tlabel=1\neof_batch\n",
        "turn\ttime=1\n",
        "turn\ttime=soon\neof_batch\n",
        START + batch(1, "inbound\twho=gatekeeper_0\trequest_id=5\n"),
        START + batch(1, "expired\twho=gatekeeper_0\n"),
        START + batch(1, "expired\twho=gatekeeper_0\trequest_id\n"),
        START + batch(1, "mail\twho=gatekeeper_0\tneighbour=1\tmsg=!!!!\n"),
        START + batch(1, "echo\twho=gatekeeper_0\tworker=1\tstate_code=MAYBE\n"),
        START + batch(1, "view\twho=gatekeeper_0\tform=total\tnodes_list=1\nx\tworker=1\n"),
        START + batch(1, REQUEST.format(n=0, id=5).replace("=2\t", "=nan\t")),
        START.replace("effect=token", "effect=perhaps"),
        START.replace("me=0\t", ""),
    ],
)
def test_malformed_input_raises_wire_error(text: str) -> None:
    with pytest.raises(codec.WireError):
        run(text)


def run_adapter(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONHASHSEED": seed}
    command = [sys.executable, "-m", "pewterring.standalone.simulator"]
    return subprocess.run(
        command, input=text, capture_output=True, text=True, cwd=ROOT, env=env, timeout=60, check=False
    )


def test_the_program_exits_at_end_of_input_and_reports_malformed_lines() -> None:
    valid = run_adapter(START)
    assert valid.returncode == 0
    assert valid.stderr == ""
    assert valid.stdout.count("done\n") == 2
    malformed = run_adapter(START + "hello\n")
    assert malformed.returncode != 0
    assert "hello" in malformed.stderr
    assert "Traceback" not in malformed.stderr


def test_actions_of_a_gateway_depend_neither_on_the_hash_seed_nor_on_other_gateways() -> None:
    body = "".join(
        batch(33_100_000_000 + n * 20_000_000, REQUEST.format(n=0, id=n + 1), REQUEST.format(n=1, id=n + 900))
        for n in range(40)
    )
    text = START + body
    assert run_adapter(text, "1").stdout == run_adapter(text, "2").stdout
    alone = "\n".join(line for line in text.splitlines() if "who=gatekeeper_1" not in line) + "\n"
    # the entries of the removed gateway's server list are removed too
    alone = alone.replace("rating=1.5\tcame_up=6100000000\nm\t", "rating=1.5\tcame_up=6100000000\nX\t")
    lines, is_kept = [], True
    for line in alone.splitlines():
        is_kept = not line.startswith("X\t") and (is_kept or not line.startswith("m\t"))
        lines += [line] if is_kept else []
    expected = [line for line in run_adapter(text).stdout.splitlines() if "who=gatekeeper_0" in line]
    assert [
        line for line in run_adapter("\n".join(lines) + "\n").stdout.splitlines() if "who=" in line
    ] == expected


def test_an_error_in_the_policy_is_written_as_an_exception(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_handle(self: object, now: float, event: interface.Event) -> list[interface.Action]:
        raise RuntimeError("two\nlines")

    monkeypatch.setattr("pewterring.standalone.policy.decisions.GatewayPolicy.handle", failing_handle)
    assert run(START)[1][0] == "exception\twho=gatekeeper_0\ttext=RuntimeError('two\\nlines')"


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (interface.Send(5, 6, 0.08), "forward\twho=g\trequest_id=5\tworker=6\tmax_wait=80000000"),
        (interface.Cancel(5, 1), "undo_send\twho=g\trequest_id=5\ttrial=1"),
        (interface.Refuse(5), "turn_away\twho=g\trequest_id=5"),
        (interface.Refuse(5, 0.5), "turn_away\twho=g\trequest_id=5\tretry_in=500000000"),
        (interface.Fail(5), "end_failed\twho=g\trequest_id=5"),
        (interface.SetTimer(0.5, 77), "timer\twho=g\tdelay=500000000\tlabel=77"),
        (interface.Probe(6), "test\twho=g\tworker=6"),
        (interface.Tell(None, b"hi 7"), "signal\twho=g\tdst=all\tmsg=aGkgNw=="),
        (interface.Tell(2, b""), "signal\twho=g\tdst=2\tmsg=-"),
        (interface.Subscribe(), "watch\twho=g\tenable=1"),
        (interface.Log("two\tservers\nknown"), "log\twho=g\ttext=two servers known"),
    ],
)
def test_actions_are_formatted_as_lines(action: interface.Action, line: str) -> None:
    assert codec.write_action("g", action) == line


def test_files_beyond_the_size_limits_are_reported() -> None:
    half = "x = 1\n" * (limits.MOST_LINES // 2)
    assert limits.faults({"a.py": half, "b.py": half}) == []
    assert len(limits.faults({"a.py": half, "b.py": half + "x = 1\n"})) == 1
    assert len(limits.faults({"a.py": "\n" * 900 + "#" * (limits.MOST_WIDTH + 1)})) == 1
    assert limits.faults(limits.policy()) == []
