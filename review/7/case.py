"""Requests with one unsound header line, and what the engines then run.

Each vector is one POST on a connection of its own; three of the bodies quote an HTTP request. The unsound line has a
name that is no ASCII token, or is a second length. TROUBLE=0 sends the same requests with a proper line instead."""

import hashlib
import json
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from kit import Engine, Fleet, Message, Reader, Record, config, route, run_case, status_of

PATH = "/recon/batch"


class RecordingEngine(Engine):
    """Also records the digest of each body that it runs."""

    bodies: dict[str, list[str]]

    def work(self, *, message: Message, sock: socket.socket, headers: list[tuple[str, str]]) -> None:
        digest = hashlib.sha256(message.body).hexdigest()[:16]
        self.bodies.setdefault(message.header("X-Request-Id"), []).append(digest)
        self.record.note(f"  body of {len(message.body)} bytes, digest {digest}")
        super().work(message=message, sock=sock, headers=headers)


def quoted_request(*, request_id: str) -> bytes:
    lines = [f"POST {PATH} HTTP/1.1", "Host: desk.example", f"X-Request-Id: {request_id}", "X-Deadline-Ms: 4000"]
    return "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()


def send(*, fleet: Fleet, record: Record, request_id: str, path: str, odd_line: bytes, body: bytes) -> None:
    head = [f"POST {path} HTTP/1.1", "Host: desk.example", f"X-Request-Id: {request_id}", "X-Deadline-Ms: 4000"]
    data = "\r\n".join(head).encode() + b"\r\n" + odd_line + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    digest = hashlib.sha256(body).hexdigest()[:16]
    record.note(f"client sends {request_id} with the line {odd_line!r}, body of {len(body)} bytes, digest {digest}")
    with socket.create_connection((fleet.edges[0], fleet.http), timeout=5) as sock:
        sock.sendall(data)
        reader = Reader(sock=sock)
        sock.settimeout(1.0)
        for turn in ("answer", "further bytes"):
            try:
                message = reader.message()
                record.note(f"client gets, as {turn} to {request_id}: {status_of(message=message)}")
            except (OSError, ValueError) as error:
                left = reader.buffer[:60]
                record.note(f"client gets, as {turn} to {request_id}: {type(error).__name__}, unread {left!r}")
                return


def main(*, record: Record, trouble: bool) -> str:
    fleet = Fleet(record=record)
    try:
        engine = RecordingEngine(ip=f"{fleet.net}.150", service="desk", record=record)
        engine.bodies = {}
        fleet.list.rows = [engine.row()]
        fleet.start_all()
        table = config(version=7, routes=[route(name="r", prefix="/recon/", service="desk")], services=["desk"])
        if fleet.put_until_acknowledged(text=json.dumps(table).encode(), base=0, limit_s=30) is None:
            raise RuntimeError("no configuration was acknowledged")
        if not fleet.wait_until_ready(limit_s=10):
            raise RuntimeError("the edge is not ready")
        good = b"X-Buecherei: garching"
        vectors = {
            "plain-batch": (PATH, "X-Bücherei: garching".encode(), b"record 1\r\nrecord 2\r\n" * 20),
            "quoting-batch": (PATH, "X-Bücherei: garching".encode(), quoted_request(request_id="nobody-sent-1")),
            "space-in-name": (PATH, b"X Branch: garching", quoted_request(request_id="nobody-sent-2")),
            "second-length": ("/no-route/1", b"Content-Length: 3", b"abc" + quoted_request(request_id="nobody-sent-3")),
        }
        sent = {}
        for request_id, (path, odd_line, body) in vectors.items():
            sent[request_id] = hashlib.sha256(body).hexdigest()[:16]
            line = odd_line if trouble else good
            send(fleet=fleet, record=record, request_id=request_id, path=path, odd_line=line, body=body)
        time.sleep(0.5)
        broken = []
        for request_id, digests in engine.bodies.items():
            if request_id not in sent:
                broken.append(f"the engine ran {request_id}, which no client sent")
            elif any(digest != sent[request_id] for digest in digests):
                broken.append(f"the engine ran {request_id} with another body")
        return "; ".join(broken)
    finally:
        fleet.close()


run_case(case=__file__, main=main)
