"""Just enough HTTP/1.1 on asyncio streams for the soak's stand-ins."""

import asyncio
import dataclasses
from collections.abc import Callable

HEAD_END = b"\r\n\r\n"
READ_BYTES = 65536
STREAM_LIMIT_BYTES = 1 << 23


@dataclasses.dataclass(kw_only=True)
class Head:
    """The first line and the fields, their names in lower case."""

    first: str
    fields: dict[str, str]


def parse_head(*, data: bytes) -> Head:
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    rows = (line.partition(":") for line in lines)
    return Head(first=first, fields={name.strip().lower(): value.strip() for name, _, value in rows})


async def read_head(*, reader: asyncio.StreamReader) -> Head | None:
    """None where the connection ends before a head begins; IncompleteReadError where it ends inside."""
    try:
        return parse_head(data=await reader.readuntil(HEAD_END))
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None


async def read_body(*, reader: asyncio.StreamReader, head: Head, note: Callable[[bytes], None]) -> bool:
    """Hands over the body as it comes; whether it came to its announced end."""
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return True
            note(piece[:-2])
    if "content-length" not in head.fields:
        return "content-length" not in head.fields and head.first.startswith(("GET", "DELETE", "HEAD"))
    left = int(head.fields["content-length"])
    while left:
        piece = await reader.read(min(left, READ_BYTES))
        if not piece:
            return False
        left -= len(piece)
        note(piece)
    return True


def head_bytes(*, first: str, fields: dict[str, str]) -> bytes:
    return "\r\n".join([first, *(f"{name}: {value}" for name, value in fields.items())]).encode("latin-1") + HEAD_END


def chunk(*, data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def call(
    *, address: str, method: str, target: str, fields: dict[str, str] | None = None, body: bytes = b"", limit_s: float
) -> tuple[int, bytes]:
    """One exchange on a connection of its own: status and body; status 0 where no whole answer came."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=STREAM_LIMIT_BYTES)
            rows = {"Host": address, "Connection": "close", **(fields or {})}
            if body:
                rows["Content-Length"] = str(len(body))
            writer.write(head_bytes(first=f"{method} {target} HTTP/1.1", fields=rows) + body)
            head = await read_head(reader=reader)
            pieces: list[bytes] = []
            if head is None or not await read_body(reader=reader, head=head, note=pieces.append):
                return 0, b""
            return int(head.first.split(" ")[1]), b"".join(pieces)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
