"""Minimal HTTP/1.1 on asyncio streams for the simulated engines, clients, operator and platform of the soak."""

import asyncio
import dataclasses
from collections.abc import Callable

HEAD_END = b"\r\n\r\n"
READ_SIZE_BYTES = 65536
STREAM_LIMIT_BYTES = 1 << 23


@dataclasses.dataclass(kw_only=True)
class Head:
    """The start line of a request or response, and its header fields with their names in lower case."""

    start_line: str
    fields: dict[str, str]


def parse_head(*, data: bytes) -> Head:
    start_line, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(start_line=start_line, fields={name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_head(*, reader: asyncio.StreamReader) -> Head | None:
    """The next head; None if the connection ends before it. Raises IncompleteReadError if it ends within the head."""
    try:
        return parse_head(data=await reader.readuntil(HEAD_END))
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None


async def read_body(*, reader: asyncio.StreamReader, head: Head, on_data: Callable[[bytes], None]) -> bool:
    """Passes the body to `on_data` as it arrives; returns whether it reached its announced end."""
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return True
            on_data(piece[:-2])
    if "content-length" not in head.fields:
        return "content-length" not in head.fields and head.start_line.startswith(("GET", "DELETE", "HEAD"))
    left = int(head.fields["content-length"])
    while left:
        piece = await reader.read(min(left, READ_SIZE_BYTES))
        if not piece:
            return False
        left -= len(piece)
        on_data(piece)
    return True


def head_bytes(*, start_line: str, fields: dict[str, str]) -> bytes:
    return (
        "\r\n".join([start_line, *(f"{name}: {value}" for name, value in fields.items())]).encode("latin-1") + HEAD_END
    )


def chunk(*, data: bytes) -> bytes:
    """A chunk of a chunked body; the last chunk if `data` is empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def exchange(
    *, address: str, method: str, target: str, fields: dict[str, str] | None = None, body: bytes = b"", timeout_s: float
) -> tuple[int, bytes]:
    """Sends one request on a new connection: returns status and body, or status 0 without a complete answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=STREAM_LIMIT_BYTES)
            all_fields = {"Host": address, "Connection": "close", **(fields or {})}
            if body:
                all_fields["Content-Length"] = str(len(body))
            writer.write(head_bytes(start_line=f"{method} {target} HTTP/1.1", fields=all_fields) + body)
            head = await read_head(reader=reader)
            pieces: list[bytes] = []
            if head is None or not await read_body(reader=reader, head=head, on_data=pieces.append):
                return 0, b""
            return int(head.start_line.split(" ")[1]), b"".join(pieces)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
