"""Just enough HTTP/1.1 over asyncio for the stand-ins: whole requests in, whole or broken answers out."""

import asyncio
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Request:
    """One request as it was received. Header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


@dataclasses.dataclass(kw_only=True)
class Answer:
    """One answer as a client saw it. Invariant: `whole` is true only if the framing says that the body is complete."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""


def parse_head(*, data: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _chunk(*, reader: asyncio.StreamReader) -> bytes:
    """The next chunk's data; empty for the last one."""
    size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(*, reader: asyncio.StreamReader) -> Request | None:
    """None when the connection ends instead; a request whose body is cut short is an error and not given out."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, headers = parse_head(data=head)
    method, target, _ = first.split(" ")
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while data := await _chunk(reader=reader):
            body += data
    return Request(method=method, target=target, headers=headers, body=body)


async def read_answer(*, reader: asyncio.StreamReader) -> Answer:
    """What came, also when it breaks off."""
    answer = Answer()
    try:
        first, answer.headers = parse_head(data=await reader.readuntil(b"\r\n\r\n"))
        answer.status = int(first.split(" ")[1])
        if "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                data = await reader.read(left)
                if not data:
                    raise ConnectionError("the connection ended inside the body")
                answer.body += data
                left -= len(data)
            answer.whole = True
        elif answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while data := await _chunk(reader=reader):
                answer.body += data
            answer.whole = True
        else:
            answer.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    return answer


def encode_request(*, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    rows = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method in ("POST", "PUT"):
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body


async def ask(*, address: str, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> Answer:
    """One whole exchange on a connection of its own."""
    ip, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError as error:
        return Answer(error=str(error))
    try:
        rows = {"Host": address, **headers}
        writer.write(encode_request(method=method, target=target, headers=rows, body=body))
        return await read_answer(reader=reader)
    except OSError as error:
        return Answer(error=str(error))
    finally:
        writer.close()
