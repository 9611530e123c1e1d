"""HTTP parsers with input split at every byte and with random input; serialized messages are parsed back."""

import time
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pewterring.standalone.http.messages import Malformed, Request, Response, end_to_end
from pewterring.standalone.http.reader import MAX_BODY, MAX_HEAD, RequestReader, ResponseReader
from pewterring.standalone.http.writer import write_request, write_response

MAX_PROCESSOR_S = 0.2  # for one example; Hypothesis's own deadline, counted in processor time
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "no body": (b"GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-A:  1 \r\n\r\n", b""),
    "length": (b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
    "length zero": (b"POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n", b""),
    "chunks": (b"POST /a HTTP/1.1\r\n" + CHUNKED + b"3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n", b"hello"),
    "trailers": (b"POST /a HTTP/1.1\r\n" + CHUNKED + b"5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n", b"hello"),
    "empty lines first": (b"\r\n\r\nPUT /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", b"x"),
}
RESPONSES = {
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, b"hello", True),
    "no reason": (b"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 200, b"", True),
    "chunks": (b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"5\r\nhello\r\n0\r\n\r\n", 200, b"hello", True),
    "interim": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
                b"Content-Length: 1\r\n\r\nx", 200, b"x", True),
    "no content": (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b"", True),
    "close said": (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", 200, b"x", False),
    "old version": (b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", 200, b"x", False),
}  # fmt: skip


@pytest.mark.parametrize("name", REQUESTS)
def test_a_request_split_at_any_byte_is_read(name: str) -> None:
    data, body = REQUESTS[name]
    for cut in range(len(data) + 1):
        reader = RequestReader()
        reader.feed(data[:cut])
        first = reader.next()
        assert (first is None) == (cut < len(data))
        reader.feed(data[cut:])
        message = first or reader.next()
        assert message is not None
        assert message.body == body
        assert message.keep_alive
        assert reader.next() is None
        assert not reader.started


def test_a_request_fed_byte_by_byte_keeps_its_method_target_and_headers() -> None:
    reader = RequestReader()
    messages = []
    for byte in REQUESTS["no body"][0] * 2:
        reader.feed(bytes([byte]))
        messages.append(reader.next())
    complete = [message for message in messages if message is not None]
    assert [(message.method, message.target, message.headers) for message in complete] == 2 * [
        (b"GET", b"/a/b?c=d", [(b"host", b"x"), (b"x-a", b"1")])
    ]


def test_pipelined_requests_are_returned_one_by_one() -> None:
    reader = RequestReader()
    reader.feed(b"".join(data for data, _ in REQUESTS.values()))
    bodies = []
    while (message := reader.next()) is not None:
        bodies.append(message.body)
    assert bodies == [body for _, body in REQUESTS.values()]


@pytest.mark.parametrize("name", RESPONSES)
def test_a_response_split_at_any_byte_is_read(name: str) -> None:
    data, status, body, keep_alive = RESPONSES[name]
    for cut in range(len(data) + 1):
        reader = ResponseReader()
        reader.feed(data[:cut])
        first = reader.next()
        assert (first is None) == (cut < len(data))
        reader.feed(data[cut:])
        message = first or reader.next()
        assert message is not None
        assert (message.status, message.body, message.keep_alive) == (status, body, keep_alive)
        assert not reader.started
        assert reader.close() is None


def test_a_response_without_length_ends_with_its_connection() -> None:
    data = b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhello"
    for cut in range(len(data)):
        reader = ResponseReader()
        reader.feed(data[:cut])
        assert reader.next() is None
        response = reader.close()  # complete once its head has arrived
        assert (response is not None) == (cut >= len(data) - 5)
    reader.feed(data[cut:])
    assert reader.next() is None


@pytest.mark.parametrize("name", ["length", "chunks"])
def test_a_truncated_response_is_not_returned(name: str) -> None:
    data = RESPONSES[name][0]
    for cut in range(len(data)):
        reader = ResponseReader()
        reader.feed(data[:cut])
        assert reader.next() is None
        assert reader.close() is None


def test_responses_to_head_have_no_body() -> None:
    reader = ResponseReader(bodiless=True)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
    message = reader.next()
    assert message is not None
    assert message.body == b""
    assert message.keep_alive


REQUEST_LINE = b"POST /a HTTP/1.1\r\n"
BAD_REQUESTS = {
    "no version": (b"GET /a\r\n\r\n", 400),
    "two spaces": (b"GET  /a HTTP/1.1\r\n\r\n", 400),
    "a control character in the path": (b"GET /a\x01 HTTP/1.1\r\n\r\n", 400),
    "not ASCII in the path": (b"GET /\xff HTTP/1.1\r\n\r\n", 400),
    "another protocol": (b"\x16\x03\x01\x02\x00\r\n\r\n", 400),
    "HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505),
    "a folded header": (REQUEST_LINE + b"X-A: 1\r\n  2\r\n\r\n", 400),
    "space before the colon": (REQUEST_LINE + b"X-A : 1\r\n\r\n", 400),
    "no colon": (REQUEST_LINE + b"X-A\r\n\r\n", 400),
    "no name": (REQUEST_LINE + b": 1\r\n\r\n", 400),
    "a bare line feed": (REQUEST_LINE + b"X-A: 1\nX-B: 2\r\n\r\n", 400),
    "a bare return": (REQUEST_LINE + b"X-A: 1\rX-B: 2\r\n\r\n", 400),
    "a NUL byte": (REQUEST_LINE + b"X-A: \x00\r\n\r\n", 400),
    "two lengths": (REQUEST_LINE + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
    "a list of lengths": (REQUEST_LINE + b"Content-Length: 5, 5\r\n\r\n", 400),
    "a negative length": (REQUEST_LINE + b"Content-Length: -1\r\n\r\n", 400),
    "a length with a plus": (REQUEST_LINE + b"Content-Length: +1\r\n\r\n", 400),
    "length and coding": (REQUEST_LINE + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    "coding and length": (REQUEST_LINE + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 400),
    "another coding": (REQUEST_LINE + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
    "coded twice": (REQUEST_LINE + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
    "a chunk without a size": (REQUEST_LINE + CHUNKED + b"\r\n", 400),
    "a chunk of a negative size": (REQUEST_LINE + CHUNKED + b"-1\r\n", 400),
    "a chunk of a size that Python alone reads": (REQUEST_LINE + CHUNKED + b"1_0\r\n", 400),
    "a chunk longer than its size": (REQUEST_LINE + CHUNKED + b"1\r\nab\r\n0\r\n\r\n", 400),
    "a chunk's line too long": (REQUEST_LINE + CHUNKED + b"1;" + b"x" * 300, 400),
    "a body too long": (REQUEST_LINE + b"Content-Length: %d\r\n\r\n" % (MAX_BODY + 1), 413),
    "chunks too long": (REQUEST_LINE + CHUNKED + b"%x\r\n" % (MAX_BODY + 1), 413),
    "many chunks too long": (REQUEST_LINE + CHUNKED + (b"%x\r\n%b\r\n" % (9000, b"x" * 9000)) * 8, 413),
    "a head too long": (REQUEST_LINE + b"X-A: " + b"x" * MAX_HEAD, 431),
    "a long head at once": (REQUEST_LINE + b"X-A: " + b"x" * MAX_HEAD + b"\r\n\r\n", 431),
    "trailers too long": (REQUEST_LINE + CHUNKED + b"0\r\n" + (b"X-A: %b\r\n" % (b"x" * 1000)) * 20, 431),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_malformed_requests_are_rejected(name: str) -> None:
    data, status = BAD_REQUESTS[name]
    reader = RequestReader()
    reader.feed(data)
    with pytest.raises(Malformed) as error:
        reader.next()
    assert error.value.status == status


@pytest.mark.parametrize("name", ["two lengths", "a folded header", "a chunk longer than its size"])
def test_malformed_requests_split_at_any_byte_are_rejected(name: str) -> None:
    data, _ = BAD_REQUESTS[name]
    for cut in range(len(data)):
        reader = RequestReader()
        with pytest.raises(Malformed):
            for segment in (data[:cut], data[cut:]):
                reader.feed(segment)
                reader.next()


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"HTTP/2 200\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY + 1),
        b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_BODY + 1),
        b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"zz\r\n",
    ],
)
def test_malformed_responses_are_rejected(data: bytes) -> None:
    reader = ResponseReader()
    reader.feed(data)
    with pytest.raises(Malformed):
        reader.next()


def test_a_body_of_the_maximum_size_is_accepted() -> None:
    reader = RequestReader()
    reader.feed(REQUEST_LINE + b"Content-Length: %d\r\n\r\n" % MAX_BODY + b"x" * MAX_BODY)
    message = reader.next()
    assert message is not None
    assert len(message.body) == MAX_BODY


def test_continue_is_wanted_once_and_only_before_the_body_arrives() -> None:
    reader = RequestReader()
    reader.feed(REQUEST_LINE + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert reader.next() is None
    assert reader.wants_continue()
    assert not reader.wants_continue()
    reader.feed(b"x")
    assert reader.next() is None
    assert not reader.wants_continue()
    early = RequestReader()
    early.feed(REQUEST_LINE + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\nx")
    assert early.next() is None
    assert not early.wants_continue()


@pytest.mark.parametrize(
    ("version", "connection", "keep_alive"),
    [
        (b"1.1", b"", True),
        (b"1.1", b"Connection: close\r\n", False),
        (b"1.1", b"Connection: Keep-Alive, CLOSE\r\n", False),
        (b"1.0", b"", False),
        (b"1.0", b"Connection: keep-alive\r\n", True),
    ],
)
def test_version_and_connection_header_decide_whether_the_connection_stays_open(
    version: bytes, connection: bytes, keep_alive: bool
) -> None:
    reader = RequestReader()
    reader.feed(b"GET / HTTP/%b\r\n%b\r\n" % (version, connection))
    message = reader.next()
    assert message is not None
    assert message.keep_alive is keep_alive


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = [
        (b"connection", b"close, X-Mine"),
        (b"x-mine", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"content-length", b"5"),
        (b"x-keep", b"2"),
        (b"x-drop", b"3"),
    ]
    assert end_to_end(headers, frozenset({b"x-drop"})) == [(b"x-keep", b"2")]


TOKEN = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=10).map(str.encode)
VALUE = st.binary(max_size=30).map(lambda data: bytes(byte for byte in data if 32 < byte < 127 or byte > 160))
FRAMING = {b"content-length", b"transfer-encoding", b"connection", b"expect"}
HEADERS = st.lists(st.tuples(TOKEN.filter(lambda name: name not in FRAMING), VALUE), max_size=6)
CUTS = st.lists(st.integers(0, 400), max_size=6)


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return [data[start:end] for start, end in pairwise(edges)]


@given(st.sampled_from([b"GET", b"POST", b"PUT"]), TOKEN, HEADERS, st.binary(max_size=200), CUTS)
def test_serialized_requests_are_parsed_back(
    method: bytes, path: bytes, headers: list[tuple[bytes, bytes]], body: bytes, cuts: list[int]
) -> None:
    reader = RequestReader()
    messages: list[Request] = []
    for segment in split_at(write_request(method, b"/" + path, headers, body), cuts):
        reader.feed(segment)
        while (request := reader.next()) is not None:
            messages.append(request)
    (request,) = messages
    assert (request.method, request.target, request.body) == (method, b"/" + path, body)
    assert end_to_end(request.headers) == end_to_end(headers)


@given(
    st.integers(200, 599).filter(lambda status: status not in (204, 304)),
    HEADERS,
    st.binary(max_size=200),
    CUTS,
)
def test_serialized_responses_are_parsed_back(
    status: int, headers: list[tuple[bytes, bytes]], body: bytes, cuts: list[int]
) -> None:
    reader = ResponseReader()
    messages: list[Response] = []
    for segment in split_at(write_response(status, headers, body), cuts):
        reader.feed(segment)
        while (response := reader.next()) is not None:
            messages.append(response)
    (response,) = messages
    assert (response.status, response.body, response.keep_alive) == (status, body, True)


@settings(deadline=None)  # Hypothesis measures elapsed time, which depends on the load of the machine
@given(st.binary(max_size=300), CUTS)
def test_no_input_raises_an_error_other_than_malformed(data: bytes, cuts: list[int]) -> None:
    started_at = time.process_time()
    for start in (b"", b"POST / HTTP/1.1\r\n", b"HTTP/1.1 200 OK\r\n", b"POST / HTTP/1.1\r\n" + CHUNKED):
        for reader in (RequestReader(), ResponseReader()):
            try:
                for segment in split_at(start + data, cuts):
                    reader.feed(segment)
                    while reader.next() is not None:
                        pass
                if isinstance(reader, ResponseReader):
                    reader.close()
            except Malformed:
                pass
    assert time.process_time() - started_at < MAX_PROCESSOR_S


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=6), CUTS)
def test_chunks_are_joined_to_one_body(chunks: list[bytes], cuts: list[int]) -> None:
    coded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
    reader = RequestReader()
    bodies = []
    for segment in split_at(REQUEST_LINE + CHUNKED + coded, cuts):
        reader.feed(segment)
        while (request := reader.next()) is not None:
            bodies.append(request.body)
    assert bodies == [b"".join(chunks)]


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n" * 1000,
        b"POST /a HTTP/1.1\r\n" + CHUNKED + b"1;a=%b\r\nx\r\n" % (b"b" * 200) * 1000,
        b"POST /a HTTP/1.1\r\n" + CHUNKED + b"1\r\nx\r\n" * 10_000,
    ],
)
def test_input_that_never_completes_a_message_is_rejected_early(data: bytes) -> None:
    """Empty lines, and chunks that consist mostly of framing, cost work without adding to a body."""
    reader = RequestReader()
    with pytest.raises(Malformed):
        for offset in range(0, len(data), 1000):
            reader.feed(data[offset : offset + 1000])
            assert reader.next() is None
            assert offset < 2 * MAX_HEAD
    assert offset <= 2 * MAX_HEAD


def test_interim_responses_are_skipped_up_to_the_limit() -> None:
    interim, last = b"HTTP/1.1 102 Processing\r\n\r\n", write_response(200, [], b"x")
    reader = ResponseReader()
    reader.feed(interim * 8 + last)
    response = reader.next()
    assert response is not None
    assert response.body == b"x"
    reader = ResponseReader()
    reader.feed(interim * 9)
    with pytest.raises(Malformed):
        reader.next()


@pytest.mark.parametrize("report", [b"\x01\x02", b"{\x7f", b"\xff\x1b["])
def test_a_malformed_load_report_does_not_invalidate_its_response(report: bytes) -> None:
    data = b"HTTP/1.1 200 OK\r\nX-Load: %b\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nok" % report
    for cut in range(len(data) + 1):
        reader = ResponseReader()
        reader.feed(data[:cut])
        first = reader.next()
        reader.feed(data[cut:])
        response = first or reader.next()
        assert response is not None
        assert response.body == b"ok"
        assert response.keep_alive
        assert response.headers == [(b"x-a", b"1"), (b"content-length", b"2")]


@pytest.mark.parametrize(
    "field", [b"Content-Length: 2\x01", b"Connection: close\x01", b"X-A: a\0b", b"X A: 1"]
)
def test_malformed_framing_headers_and_names_are_rejected(field: bytes) -> None:
    reader = ResponseReader()
    reader.feed(b"HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 2\r\n\r\nok" % field)
    with pytest.raises(Malformed):
        reader.next()
