"""HTTP connections of callers, with large bodies handed on as they arrive.

waitress takes a whole body before the application is called, and puts large
ones into a temporary file. The VMs have no disk, so a body above a small size is
handed to the application as a bounded pipe instead: the application runs as soon
as the headers are there, and the connection is read no faster than the pipe
empties.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import TcpWSGIServer
from waitress.task import WSGITask

from ..calls import CHUNK_BYTES, Pipe

__all__ = ["UPLOAD_KEY", "UploadServer"]

UPLOAD_KEY = "cyclamenvane.upload"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _Parser(HTTPRequestParser):
    """Ends a request at its headers when its body is to be a pipe."""

    upload: Pipe | None = None
    awaits_continue = False

    def __init__(self, adj: Any, on_upload: Callable[[Pipe], None]) -> None:
        super().__init__(adj)
        self._on_upload = on_upload

    def received(self, data: bytes) -> int:
        """Take in bytes; return how many were used."""
        used = super().received(data)
        large = self.content_length > CHUNK_BYTES and not self.chunked
        if self.headers_finished and not self.completed and large:
            self.upload = Pipe(self.content_length)
            self.awaits_continue = self.expect_continue
            self.expect_continue = False
            self.completed = True
            self._on_upload(self.upload)
        return used


class _UploadBody:
    """Stands in for a parser while the body of an upload arrives."""

    empty = True
    expect_continue = False
    headers_finished = True

    def __init__(self, pipe: Pipe) -> None:
        assert pipe.length is not None, "an upload has a length"
        self.completed = False
        self._pipe = pipe
        self._missing = pipe.length

    def received(self, data: bytes) -> int:
        """Take in bytes of the body; return how many were used."""
        part = data[: self._missing]
        self._missing -= len(part)
        if not self._pipe.failed:
            # The channel reads no further while the pipe is full, so one read
            # always fits.
            self._pipe.offer(bytes(part))
        if not self._missing:
            self._pipe.end()
            self.completed = True
        return len(part)


class _Task(WSGITask):
    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment, with the pipe of an upload."""
        environ = super().get_environment()
        upload = getattr(self.request, "upload", None)
        if upload is not None:
            self.channel.prepare_upload(upload, self.request.awaits_continue)
            environ[UPLOAD_KEY] = upload
        return environ


class _Channel(HTTPChannel):
    task_class = _Task

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._upload: Pipe | None = None
        self._upload_began = False
        super().__init__(*args, **kwargs)
        self.parser_class = self._next_parser

    def readable(self) -> bool:
        """Whether more may be read: not while the pipe of an upload is full."""
        upload = self._upload
        if upload is not None and upload.held >= upload.capacity:
            return False
        return super().readable()

    def handle_close(self) -> None:
        """Close the connection; an upload under way is not whole."""
        if self._upload is not None:
            self._upload.fail("the caller went away")
        super().handle_close()

    def prepare_upload(self, pipe: Pipe, awaits_continue: bool) -> None:
        """Connect the reading of a pipe to the reading of the connection."""
        wake = self.server.pull_trigger
        if awaits_continue:
            pipe.connect(self._send_continue, wake)
        else:
            pipe.connect(wake, wake)

    def _next_parser(self, adj: Any) -> _Parser | _UploadBody:
        # What follows the headers of an upload is its body, even when the
        # request has been answered already.
        if self._upload is not None and not self._upload_began:
            self._upload_began = True
            return _UploadBody(self._upload)
        return _Parser(adj, self._begin_upload)

    def _begin_upload(self, pipe: Pipe) -> None:
        self._upload = pipe
        self._upload_began = False

    def _send_continue(self) -> None:
        with self.outbuf_lock:
            self.outbufs[-1].append(_CONTINUE)
            self.current_outbuf_count += len(_CONTINUE)
            self.total_outbufs_len += len(_CONTINUE)
            self._flush_some()
        self.server.pull_trigger()


class UploadServer(TcpWSGIServer):
    """A waitress server whose connections hand on large bodies as pipes."""

    channel_class = _Channel
