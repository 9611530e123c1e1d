"""Encoding and reading of checksummed records."""

from pewterring.storage.records import HEADER_BYTES, encode_batch, encode_record, has_later_batch, read_record


def test_a_record_is_read_as_written() -> None:
    data = encode_record(b'{"a":1}\n', 7, is_last=False)
    record = read_record(b"??" + data, 2)
    assert record is not None
    assert (record.payload, record.batch, record.is_last) == (b'{"a":1}\n', 7, False)
    assert record.end == 2 + len(data) == 2 + HEADER_BYTES + 8


def test_any_flipped_bit_makes_a_record_invalid() -> None:
    data = encode_record(b'{"a":1}\n', 7)
    for position in range(len(data) * 8):
        damaged = bytearray(data)
        damaged[position // 8] ^= 1 << position % 8
        assert read_record(bytes(damaged), 0) is None


def test_zeros_are_not_a_valid_record() -> None:
    assert read_record(bytes(100), 0) is None


def test_a_later_batch_is_found_after_damage_but_not_the_same_batch() -> None:
    data = b"damaged" + encode_batch([b"a", b"b"], 3)
    assert has_later_batch(data, 0, 2)
    assert not has_later_batch(data, 0, 3)
