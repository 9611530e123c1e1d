"""Serializes messages: head and body in one byte string, framed by Content-Length."""

from pewterring.standalone.http.messages import REASONS, Headers

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def write_headers(headers: Headers) -> bytes:
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> bytes:
    # RFC 9110, 8.6: a request without a body needs Content-Length only if its method usually has one.
    length = b"Content-Length: %d\r\n" % len(body) if body or method in (b"POST", b"PUT", b"PATCH") else b""
    return b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (method, target, write_headers(headers), length, body)


def write_response(
    status: int, headers: Headers, body: bytes = b"", keep_alive: bool = True, head_only: bool = False
) -> bytes:
    """Serializes a response. `head_only` omits the body but keeps its Content-Length, as for HEAD."""
    reason = REASONS.get(status, b"Answer")
    close = b"" if keep_alive else b"Connection: close\r\n"
    head = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n"
    return head % (status, reason, write_headers(headers), close, len(body)) + (b"" if head_only else body)
