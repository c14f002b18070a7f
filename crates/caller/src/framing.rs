//! Validates the framing of requests before hyper parses them.
//!
//! hyper accepts a request with both `transfer-encoding` and `content-length`, and silently drops
//! one of them. A proxy in front of this node may have used the other one, and the two would
//! disagree on where the next request starts (request smuggling). hyper also responds to heads that
//! it can't parse with an empty body. [`CheckedStream`] validates each head first and replaces a
//! rejected one with [`SUBSTITUTE_HEAD`], for which the service returns the numbered result code.
//! It tracks the framing of bodies to find the start of the next head. The cost is a second parse
//! of each head and of the chunk sizes; bodies of known length are not copied.
//!
//! While a request is in progress, [`CheckedStream::poll_read_ahead`] reads the heads that the
//! caller sends behind it, which hyper only does once the response is complete.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use hyper::http::request::Parts;
use model::ResultCode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::chunks::ChunkScanner;
use crate::early::EarlyRequests;
use crate::head::{CheckedHead, Framing, check_head, find_head_end, parse_parts};

/// Maximum time for which the rest of an unfinished request is read and discarded before closing.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of a read from the connection, in bytes.
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Head that is passed to hyper in place of a rejected one.
const SUBSTITUTE_HEAD: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Maximum number of unprocessed bytes that are read ahead on a connection.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// A head without a body that was read while an earlier request was in progress.
pub(crate) struct AheadHead {
    /// Number of the request on its connection, counted from 1.
    pub(crate) number: u64,
    pub(crate) parts: Parts,
}

/// Result of [`CheckedStream::poll_read_ahead`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadAheadState {
    /// The connection is open.
    Open,
    /// The caller has closed the connection.
    Closed,
}

/// Number and result code of the rejected request of a connection. There is at most one, because a
/// rejection ends the connection.
#[derive(Debug, Default)]
pub(crate) struct RejectedHead(Mutex<Option<(u64, ResultCode)>>);

impl RejectedHead {
    /// Returns why the request with this number was rejected, if it was.
    pub(crate) fn code_for(&self, request: u64) -> Option<ResultCode> {
        let rejected = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        rejected.filter(|(number, _)| *number == request).map(|(_, code)| code)
    }

    fn set(&self, request: u64, code: ResultCode) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((request, code));
    }
}

/// Bounds on the head of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeadLimits {
    /// Maximum size in bytes.
    pub(crate) max_bytes: usize,
    /// Timeout from the first byte to the last. `None` leaves the time to hyper.
    pub(crate) timeout: Option<Duration>,
}

/// A connection that validates the framing of requests while they are read.
pub(crate) struct CheckedStream {
    stream: TcpStream,
    head_limits: HeadLimits,
    rejected_head: Arc<RejectedHead>,
    early: Arc<EarlyRequests>,
    state: State,
    /// Bytes that were read from the connection and not yet passed to hyper.
    buf: BytesMut,
    /// Number of validated bytes at the start of `buf`.
    checked_bytes: usize,
    /// Number of heads passed to hyper, including a substitute.
    heads_passed: u64,
    /// Unvalidated bytes at the start of `buf` that [`CheckedStream::scan_ahead`] has recognized as
    /// complete heads without bodies, and the number of these heads.
    scanned: (usize, u64),
    /// Length of `buf` when it was last searched for complete heads.
    scanned_buf_bytes: usize,
    /// Whether a head has been seen behind which no other one may be processed early.
    ends_scan: bool,
    /// Heads found by [`CheckedStream::scan_ahead`].
    ahead: Vec<AheadHead>,
    /// Timer of a head of which a part has been received.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Timer that limits the wait for the caller to close its side.
    linger: Option<Pin<Box<Sleep>>>,
}

/// The part of a request that the next unchecked byte belongs to.
enum State {
    /// A head, of which this many bytes have been searched for the end.
    Head(usize),
    /// A body of known length, with the number of remaining bytes.
    SizedBody(u64),
    /// A chunked body.
    ChunkedBody(ChunkScanner),
    /// A rejected request. The rest of the connection is not parsed.
    Rejected,
}

impl CheckedStream {
    pub(crate) fn new(
        stream: TcpStream,
        head_limits: HeadLimits,
        rejected_head: Arc<RejectedHead>,
        early: Arc<EarlyRequests>,
    ) -> Self {
        CheckedStream {
            stream,
            head_limits,
            rejected_head,
            early,
            state: State::Head(0),
            buf: BytesMut::new(),
            checked_bytes: 0,
            heads_passed: 0,
            scanned: (0, 0),
            scanned_buf_bytes: 0,
            ends_scan: false,
            ahead: Vec::new(),
            head_timer: None,
            linger: None,
        }
    }

    /// Validates the next part of `buf`.
    fn check_next(&mut self) -> io::Result<()> {
        let unchecked_bytes = &self.buf[self.checked_bytes..];
        match &mut self.state {
            State::Rejected => {}
            State::SizedBody(remaining) => {
                let count =
                    usize::try_from(*remaining).unwrap_or(usize::MAX).min(unchecked_bytes.len());
                self.checked_bytes += count;
                *remaining -= count as u64;
                if *remaining == 0 {
                    self.state = State::Head(0);
                }
            }
            State::ChunkedBody(scanner) => {
                let (count, ended) = scanner.scan(unchecked_bytes)?;
                self.checked_bytes += count;
                if ended {
                    self.state = State::Head(0);
                }
            }
            // All validated bytes are passed on first, so that `buf` starts with the head.
            State::Head(_) if self.checked_bytes > 0 => {}
            State::Head(_) => self.check_head(),
        }
        Ok(())
    }

    fn check_head(&mut self) {
        while self.buf.starts_with(b"\r\n") {
            // RFC 9112 section 2.2: empty lines before the request line are ignored.
            self.buf.advance(2);
            self.state = State::Head(0);
        }
        let State::Head(searched) = self.state else { return };
        let end = match find_head_end(&self.buf, searched) {
            Ok(end) => end,
            Err(code) => return self.reject(code),
        };
        if end.unwrap_or(self.buf.len()) > self.head_limits.max_bytes {
            return self.reject(ResultCode::HeadTooLarge);
        }
        let Some(end) = end else {
            self.state = State::Head(self.buf.len());
            return;
        };
        match check_head(&self.buf[..end]) {
            Err(code) => self.reject(code),
            Ok(head) => {
                self.heads_passed += 1;
                self.head_timer = None;
                self.checked_bytes = end;
                match self.scanned {
                    (0, _) => self.found_head(self.heads_passed, 0, end, &head),
                    (bytes, heads) => self.scanned = (bytes - end, heads - 1),
                }
                self.state = match head.framing {
                    Framing::ContentLength(0) => State::Head(0),
                    Framing::ContentLength(bytes) => State::SizedBody(bytes),
                    Framing::Chunked => State::ChunkedBody(ChunkScanner::default()),
                };
            }
        }
    }

    /// Reads heads behind the request in progress, if the stream is at the start of a head. They are
    /// then available from [`CheckedStream::take_ahead`].
    pub(crate) fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> ReadAheadState {
        while matches!(self.state, State::Head(_)) {
            self.scan_ahead();
            if self.buf.len() >= MAX_READ_AHEAD_BYTES {
                break;
            }
            match poll_fill_buffer(&mut self.stream, cx, &mut self.buf) {
                Poll::Pending => break,
                Poll::Ready(Ok(0) | Err(_)) => return ReadAheadState::Closed,
                Poll::Ready(Ok(_)) => {}
            }
        }
        ReadAheadState::Open
    }

    /// Makes the end of the connection visible as an error, whatever has been sent before.
    pub(crate) fn reset_on_close(&self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }

    /// Returns the heads that were found since the last call.
    pub(crate) fn take_ahead(&mut self) -> Vec<AheadHead> {
        std::mem::take(&mut self.ahead)
    }

    /// Searches the unvalidated bytes for complete heads without bodies. It stops at any other bytes,
    /// which are validated once hyper reads them.
    fn scan_ahead(&mut self) {
        let is_scanned = self.scanned_buf_bytes == self.buf.len();
        self.scanned_buf_bytes = self.buf.len();
        while !self.ends_scan && !is_scanned {
            let (bytes, heads) = self.scanned;
            let start = self.checked_bytes + bytes;
            let Ok(Some(length)) = find_head_end(&self.buf[start..], 0) else { return };
            let end = start + length;
            let Ok(head) = check_head(&self.buf[start..end]) else { return };
            if length > self.head_limits.max_bytes || head.framing != Framing::ContentLength(0) {
                return;
            }
            self.scanned = (bytes + length, heads + 1);
            let number = self.heads_passed + heads + 1;
            self.found_head(number, start, end, &head);
        }
    }

    /// Keeps a head that was found in the buffer at `start..end`, if it can be processed early.
    fn found_head(&mut self, number: u64, start: usize, end: usize, head: &CheckedHead) {
        self.ends_scan |= head.ends_connection;
        let may_start_early = !self.ends_scan
            && head.framing == Framing::ContentLength(0)
            && self.early.is_in_progress();
        if may_start_early && let Some(parts) = parse_parts(&self.buf[start..end]) {
            self.ahead.push(AheadHead { number, parts });
        }
    }

    fn reject(&mut self, code: ResultCode) {
        self.heads_passed += 1;
        self.rejected_head.set(self.heads_passed, code);
        self.buf.clear();
        self.buf.extend_from_slice(SUBSTITUTE_HEAD);
        self.checked_bytes = SUBSTITUTE_HEAD.len();
        self.state = State::Rejected;
    }
}

/// A [`CheckedStream`] that hyper and the read-ahead of its connection share.
#[derive(Clone)]
pub(crate) struct SharedStream(Arc<Mutex<CheckedStream>>);

impl SharedStream {
    pub(crate) fn new(stream: CheckedStream) -> SharedStream {
        SharedStream(Arc::new(Mutex::new(stream)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, CheckedStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.lock().poll_read(cx, out)
    }
}

impl CheckedStream {
    fn poll_read(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self;
        loop {
            if this.checked_bytes == 0 {
                this.check_next()?;
            }
            if this.checked_bytes > 0 {
                let count = this.checked_bytes.min(out.remaining());
                out.put_slice(&this.buf[..count]);
                this.buf.advance(count);
                this.checked_bytes -= count;
                return Poll::Ready(Ok(()));
            }
            match &mut this.state {
                // Reporting the end of the stream here would stop hyper from responding. hyper
                // closes the connection after the response.
                State::Rejected => return Poll::Pending,
                State::SizedBody(remaining) if this.buf.is_empty() => {
                    return poll_read_body(&mut this.stream, cx, out, remaining);
                }
                _ => {}
            }
            let filled = poll_fill_buffer(&mut this.stream, cx, &mut this.buf);
            if filled.is_pending() && this.poll_head_timeout(cx).is_ready() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            if ready!(filled)? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Resolves when the caller has taken too long for the rest of a head. The head behind a request
    /// in progress is not timed, since an error here would cut the response.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let is_partial = matches!(self.state, State::Head(_)) && !self.buf.is_empty();
        let timeout = self.head_limits.timeout.filter(|_| is_partial);
        let Some(timeout) = timeout.filter(|_| !self.early.is_in_progress()) else {
            self.head_timer = None;
            return Poll::Pending;
        };
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        timer.as_mut().poll(cx)
    }
}

/// Reads a body of known length directly into the buffer of hyper.
fn poll_read_body(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    out: &mut ReadBuf<'_>,
    remaining: &mut u64,
) -> Poll<io::Result<()>> {
    let unfilled = out.initialize_unfilled();
    let max_bytes = usize::try_from(*remaining).unwrap_or(usize::MAX).min(unfilled.len());
    let mut read_buf = ReadBuf::new(&mut unfilled[..max_bytes]);
    ready!(Pin::new(stream).poll_read(cx, &mut read_buf))?;
    let count = read_buf.filled().len();
    out.advance(count);
    *remaining -= count as u64;
    Poll::Ready(Ok(()))
}

fn poll_fill_buffer(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buf: &mut BytesMut,
) -> Poll<io::Result<usize>> {
    let start = buf.len();
    buf.resize(start + READ_CHUNK_BYTES, 0);
    let mut read_buf = ReadBuf::new(&mut buf[start..]);
    let read = Pin::new(stream).poll_read(cx, &mut read_buf);
    let count = read_buf.filled().len();
    buf.truncate(start + count);
    read.map_ok(|()| count)
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.lock().poll_shutdown(cx)
    }
}

impl CheckedStream {
    /// Closing a socket with unread bytes resets the connection, and the caller may lose the
    /// response. The rest of an unfinished request is therefore read and discarded, for at most
    /// [`LINGER_TIMEOUT`].
    fn poll_shutdown(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if matches!(self.state, State::Head(_)) {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = self.linger.get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            self.buf.clear();
            if ready!(poll_fill_buffer(&mut self.stream, cx, &mut self.buf))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
