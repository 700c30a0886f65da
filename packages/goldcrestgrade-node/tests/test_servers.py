from __future__ import annotations

from goldcrestgrade_node import servers


class Transport:
    def __init__(self) -> None:
        self.written = []
        self.closed = False

    def write(self, data):
        self.written.append(data)

    def close(self):
        self.closed = True


def test_head_is_written_with_the_first_part_of_the_body():
    transport = Transport()
    writer = servers.AnswerWriter(transport)
    for data in (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"first", b"second"):
        writer.write(data)
    assert transport.written == [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nfirst",
        b"second",
    ]


def test_head_without_a_body_is_written_on_close():
    transport = Transport()
    writer = servers.AnswerWriter(transport)
    writer.write(b"HTTP/1.1 500 Internal Server Error\r\n\r\n")
    writer.close()
    assert transport.written == [b"HTTP/1.1 500 Internal Server Error\r\n\r\n"]
    assert transport.closed
