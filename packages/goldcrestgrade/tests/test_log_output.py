"""Log output that never blocks the process and stays within its rate and buffer limits."""

import gc
import logging
import os
import sys
import weakref

from goldcrestgrade import log_output


def record(level=logging.INFO, text="text"):
    return logging.makeLogRecord({"levelno": level, "levelname": "X", "msg": text})


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def handler_of(pipe, clock):
    handler = log_output.BoundedHandler(pipe[1], clock)
    handler.setFormatter(logging.Formatter("%(message)s"))
    return handler


def read(descriptor):
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def test_stalled_reader_blocks_nothing_and_pending_bytes_stay_bounded():
    pipe = os.pipe()
    handler = handler_of(pipe, clock := Clock())
    for _ in range(5000):
        clock.now += 1.0
        handler.emit(record(text="x" * 1000))
    assert len(handler.pending) <= log_output.MAX_PENDING_BYTES + 2000
    assert handler.dropped > 0


def test_lines_beyond_the_budget_are_dropped_and_counted():
    pipe = os.pipe()
    handler = handler_of(pipe, clock := Clock())
    for _ in range(2000):
        handler.emit(record())
    written = len(read(pipe[0]))
    assert written <= log_output.BURST_LINES
    clock.now += 10.0
    handler.emit(record(text="later"))
    assert read(pipe[0]) == ["log lines dropped", "later"]


def test_lasting_overload_stays_within_the_rate_and_reports_dropped_lines_once_a_second():
    pipe = os.pipe()
    handler = handler_of(pipe, clock := Clock())
    seconds, written = 20, []
    for _ in range(seconds * 200):
        clock.now += 1 / 200
        handler.emit(record())
        written += read(pipe[0])
    assert len(written) <= log_output.BURST_LINES + seconds * log_output.LINES_PER_S
    assert 0 < written.count("log lines dropped") <= seconds


def test_warning_is_written_after_info_lines_have_spent_their_part_of_the_budget():
    pipe = os.pipe()
    handler = handler_of(pipe, Clock())
    for _ in range(2000):
        handler.emit(record())
    read(pipe[0])
    handler.emit(record(logging.WARNING, "store lost"))
    assert read(pipe[0])[-1] == "store lost"


def test_latest_records_are_kept_whether_or_not_they_were_written():
    pipe = os.pipe()
    handler = handler_of(pipe, Clock())
    for number in range(3000):
        handler.emit(record(text=str(number)))
    dump = handler.dump().splitlines()
    assert len(dump) == log_output.RECENT_RECORDS
    assert dump[-1] == "2999"


def test_closed_reader_raises_no_error():
    pipe = os.pipe()
    handler = handler_of(pipe, Clock())
    os.close(pipe[0])
    handler.emit(record())
    handler.emit(record())


class Body:
    """Stands for the body of an answer."""


def test_latest_records_keep_the_text_of_a_traceback_and_none_of_its_variables():
    """Guards against log records that hold the bodies of requests that failed."""
    handler = handler_of(os.pipe(), Clock())
    bodies = []

    def fail():
        body = Body()
        bodies.append(weakref.ref(body))
        raise RuntimeError("failed while it held a body")

    for _ in range(10):
        try:
            fail()
        except RuntimeError:
            failure = record(logging.ERROR)
            failure.exc_info = sys.exc_info()
            handler.emit(failure)
        del failure
    gc.collect()
    assert [body() for body in bodies] == [None] * 10
    assert handler.dump().count("RuntimeError: failed while it held a body") == 10
