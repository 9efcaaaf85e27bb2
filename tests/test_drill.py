"""The adapter: wire text in, wire text out, plain messages for what is malformed."""

import io
import json
import subprocess
import sys

import pytest

from finchshelf.drill.__main__ import Drill
from finchshelf.drill.codec import WireError

SETUP = json.dumps(
    {
        "balancers": 2,
        "me": 0,
        "unknown": [1, 2],
        "ceilings": {"cancel": True, "try-limit": 3, "retry-after": True, "max-retry-after": 500.0},
        "family-info": {"may-count": True, "count-wait": 30.0, "most-units": 2},
        "lanes": [{"aim": 1000.0, "deadline": 4000.0, "semantics": "retryable", "worth": 1.0, "name": "x"}],
        "contracts": [{"refill": 5.0, "most-at-once": 10.0, "price": 1.0, "name": "p"}],
        "rules": {"fall": 1000.0, "fall-multiple": 2.0, "cold-from": 0.2, "warm-up": 9000.0},
    }
)
START = f"""BEGIN_BATCH sim-time=5000.0
OPEN_INSTANCE limiter=3 nonce64=42 setup={SETUP}
REGISTER buffer=0 rows=1
M server=server_a campus=0 class-of-host=0 pod=0 condition=0 weight=1 colour=red
ROSTER_CHANGE limiter=3 form=2 version=1 buffer=0
EOF_BATCH
"""
ORDER = """BEGIN_BATCH sim-time=5002.0
ORDER limiter=3 id=77 cls=0 tier=0 account=9 valid-until=9002.0 quota-units=1 entry-points=2 first=0 new=1
EOF_BATCH
"""


def start_process(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "finchshelf.drill"]
    return subprocess.run(command, input=text, capture_output=True, text=True, check=False)


def play(text: str) -> str:
    sink = io.StringIO()
    Drill().run(io.StringIO(text), sink)
    return sink.getvalue()


def test_empty_batch() -> None:
    assert play("BEGIN_BATCH sim-time=1\nEOF_BATCH\n\n") == "FINISHED\n"


def test_request_is_counted_then_sent() -> None:
    reply = play(START + ORDER).splitlines()
    assert reply[0] == "FINISHED" and reply[1].startswith("ADD limiter=3 cname=") and reply[2] == "FINISHED"
    cname = reply[1].split("cname=")[1].split()[0]
    total = f"BEGIN_BATCH sim-time=5004\nTOTAL limiter=3 cname={cname} reason=OK sum=1 took=2\nEOF_BATCH\n"
    last = play(START + ORDER + total).splitlines()[3:]
    assert last[0].startswith("ATTEMPT limiter=3 id=77 server=server_a cap=") and last[1] == "FINISHED"


def test_input_that_ends_in_a_batch_ends_the_run() -> None:
    assert play(START + "BEGIN_BATCH sim-time=5004\n") == "FINISHED\n"
    assert play("BEGIN_BATCH sim-time=5\nREGISTER buffer=0 rows=3\n") == ""


def test_events_for_ended_requests_are_ignored() -> None:
    late = (
        "BEGIN_BATCH sim-time=6000\nREPLY limiter=3 id=5 n=0 server=server_a reason=OK took=1 settled=1\n"
        "HANGUP limiter=3 id=5\nTOTAL limiter=3 cname=1 reason=OK sum=2 took=1\n"
        "FIRED limiter=3 tag=9\nEOF_BATCH\n"
    )
    assert play(START + late).splitlines() == ["FINISHED", "FINISHED"]


def test_detach_forgets() -> None:
    with pytest.raises(WireError, match="limiter 3"):
        play(START + "BEGIN_BATCH sim-time=5001\nDETACH limiter=3\nEOF_BATCH\n" + ORDER)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("HELLO\n", "BEGIN_BATCH"),
        ("BEGIN_BATCH sim-time=soon\n", "a number"),
        ("BEGIN_BATCH sim-time=nan\n", "a number"),
        ("BEGIN_BATCH\n", "sim-time"),
        (START + ORDER.replace("ORDER ", "BESTEL "), "unknown message"),
        (START + ORDER.replace("id=77", "id=x7"), "integer for id"),
        (START + ORDER.replace("cls=0", "cls=5"), "cls below 1"),
        (START + ORDER.replace("tier=0", "tier=-1"), "tier below 1"),
        (START + ORDER.replace("id=77 ", ""), "id=INTEGER"),
        (START + ORDER.replace("limiter=3", "limiter=4"), "OPEN_INSTANCE of limiter 4"),
        (START.replace('"aim": 1000.0', '"aim": "fast"'), "number for lanes[0].aim"),
        (START.replace('"retryable"', '"maybe"'), "one of retryable"),
        (START.replace("setup={", "setup={{"), "JSON object"),
        (START.replace("condition=0", "condition=7"), "condition 0, 1 or 2"),
        (START.replace("form=2", "form=9"), "form 0 to 3"),
        (START.replace("version=1 buffer=0", "version=1 buffer=4"), "REGISTER buffer=4"),
        (START.replace("M server", "N server"), "list entry M"),
        (START + "BEGIN_BATCH sim-time=5001\nFIRED limiter=3 tag\nEOF_BATCH\n", "name=value"),
    ],
)
def test_malformed_input_gets_one_plain_line(text: str, expected: str) -> None:
    run = start_process(text)
    assert run.returncode != 0
    assert len(run.stderr.splitlines()) == 1
    assert run.stderr.startswith("line ") and expected in run.stderr


def test_process_answers_an_empty_batch() -> None:
    run = start_process("BEGIN_BATCH sim-time=1\nEOF_BATCH\n")
    assert (run.returncode, run.stdout, run.stderr) == (0, "FINISHED\n", "")
