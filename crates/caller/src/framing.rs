//! Checks the framing of requests before the HTTP library reads them.
//!
//! The library takes a request with both `transfer-encoding` and `content-length`, and drops one of
//! them without a trace. A proxy before this node may have used the other one, so the two would
//! disagree on where the next request starts (request smuggling). The library also answers heads
//! that it can't parse with an empty body. [`CheckedStream`] sees each head first and replaces one
//! that is refused by [`SUBSTITUTE`], which the service answers with the numbered code. It follows
//! the framing of bodies to know where the next head starts. The cost is a second look at each
//! head and at the chunk sizes; bodies of known length are not copied.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use hyper::http::{HeaderName, HeaderValue, Method, Uri};
use model::ResultCode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::chunks::ChunkScanner;

/// Most headers of a request.
pub(crate) const MAX_HEADERS: usize = 100;

/// Longest target that [`Uri`] takes, in bytes.
const MAX_TARGET_BYTES: usize = u16::MAX as usize - 1;

/// Longest time for which the rest of a refused request is read and dropped.
const LINGER: Duration = Duration::from_millis(200);

/// Bytes read from the connection at a time.
const READ_BYTES: usize = 8 * 1024;

/// Head that the library gets in place of a refused one.
const SUBSTITUTE: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// The refused request of a connection. There is at most one, since it ends the connection.
#[derive(Debug, Default)]
pub(crate) struct Refusal(Mutex<Option<(u64, ResultCode)>>);

impl Refusal {
    /// Tells why the request with this number was refused, if it was.
    pub(crate) fn of(&self, request: u64) -> Option<ResultCode> {
        let refused = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        refused.filter(|(number, _)| *number == request).map(|(_, code)| code)
    }

    fn set(&self, request: u64, code: ResultCode) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((request, code));
    }
}

/// A connection whose requests are checked while they are read.
pub(crate) struct CheckedStream {
    stream: TcpStream,
    max_head_bytes: usize,
    refusal: Arc<Refusal>,
    state: State,
    /// Bytes that were read and not yet passed on.
    buf: BytesMut,
    /// Bytes at the start of `buf` that are checked.
    checked: usize,
    /// Heads passed on.
    requests: u64,
    /// Ends the wait for the caller to close.
    linger: Option<Pin<Box<Sleep>>>,
}

/// What the next unchecked byte belongs to.
enum State {
    /// A head, of which this many bytes were searched for the end.
    Head(usize),
    /// A body of known length, with the bytes that are left.
    Length(u64),
    /// A chunked body.
    Chunked(ChunkScanner),
    /// Nothing: the rest of the connection is not read.
    Refused,
}

/// How the body of a request is framed.
#[derive(Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
}

impl CheckedStream {
    pub(crate) fn new(stream: TcpStream, max_head_bytes: usize, refusal: Arc<Refusal>) -> Self {
        CheckedStream {
            stream,
            max_head_bytes,
            refusal,
            state: State::Head(0),
            buf: BytesMut::new(),
            checked: 0,
            requests: 0,
            linger: None,
        }
    }

    /// Checks more of `buf`.
    fn check(&mut self) -> io::Result<()> {
        let unchecked = &self.buf[self.checked..];
        match &mut self.state {
            State::Refused => {}
            State::Length(left) => {
                let count = usize::try_from(*left).unwrap_or(usize::MAX).min(unchecked.len());
                self.checked += count;
                *left -= count as u64;
                if *left == 0 {
                    self.state = State::Head(0);
                }
            }
            State::Chunked(scanner) => {
                let (count, ended) = scanner.scan(unchecked)?;
                self.checked += count;
                if ended {
                    self.state = State::Head(0);
                }
            }
            // A head is passed on by itself, so that `buf` starts with the next one.
            State::Head(_) if self.checked > 0 => {}
            State::Head(_) => self.check_head(),
        }
        Ok(())
    }

    fn check_head(&mut self) {
        while self.buf.starts_with(b"\r\n") {
            // Empty lines before a request are allowed.
            self.buf.advance(2);
            self.state = State::Head(0);
        }
        let State::Head(searched) = self.state else { return };
        let end = match find_end(&self.buf, searched) {
            Ok(end) => end,
            Err(code) => return self.refuse(code),
        };
        if end.unwrap_or(self.buf.len()) > self.max_head_bytes {
            return self.refuse(ResultCode::HeadTooLarge);
        }
        let Some(end) = end else {
            self.state = State::Head(self.buf.len());
            return;
        };
        match framing(&self.buf[..end]) {
            Err(code) => self.refuse(code),
            Ok(framing) => {
                self.requests += 1;
                self.checked = end;
                self.state = match framing {
                    Framing::Length(0) => State::Head(0),
                    Framing::Length(bytes) => State::Length(bytes),
                    Framing::Chunked => State::Chunked(ChunkScanner::default()),
                };
            }
        }
    }

    fn refuse(&mut self, code: ResultCode) {
        self.requests += 1;
        self.refusal.set(self.requests, code);
        self.buf.clear();
        self.buf.extend_from_slice(SUBSTITUTE);
        self.checked = SUBSTITUTE.len();
        self.state = State::Refused;
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if this.checked == 0 {
                this.check()?;
            }
            if this.checked > 0 {
                let count = this.checked.min(out.remaining());
                out.put_slice(&this.buf[..count]);
                this.buf.advance(count);
                this.checked -= count;
                return Poll::Ready(Ok(()));
            }
            match &mut this.state {
                // An end of the connection here would stop the library from answering. It closes
                // by itself after the answer.
                State::Refused => return Poll::Pending,
                State::Length(left) if this.buf.is_empty() => {
                    return read_body(&mut this.stream, cx, out, left);
                }
                _ => {}
            }
            if ready!(read_more(&mut this.stream, cx, &mut this.buf))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

/// Reads a body of known length straight into the buffer of the library.
fn read_body(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    out: &mut ReadBuf<'_>,
    left: &mut u64,
) -> Poll<io::Result<()>> {
    let room = out.initialize_unfilled();
    let most = usize::try_from(*left).unwrap_or(usize::MAX).min(room.len());
    let mut part = ReadBuf::new(&mut room[..most]);
    ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    let count = part.filled().len();
    out.advance(count);
    *left -= count as u64;
    Poll::Ready(Ok(()))
}

fn read_more(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buf: &mut BytesMut,
) -> Poll<io::Result<usize>> {
    let start = buf.len();
    buf.resize(start + READ_BYTES, 0);
    let mut part = ReadBuf::new(&mut buf[start..]);
    let read = Pin::new(stream).poll_read(cx, &mut part);
    let count = part.filled().len();
    buf.truncate(start + count);
    read.map_ok(|()| count)
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    /// Closing with unread bytes resets the connection, and the caller may lose the answer. So the
    /// rest of a request that was not read to its end is dropped for a while.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some(linger) = &mut this.linger else {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if matches!(this.state, State::Head(_)) {
                return Poll::Ready(Ok(()));
            }
            this.linger = Some(Box::pin(tokio::time::sleep(LINGER)));
            return Pin::new(this).poll_shutdown(cx);
        };
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            this.buf.clear();
            if ready!(read_more(&mut this.stream, cx, &mut this.buf))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

/// Finds the end of a head of which `searched` bytes hold no end. Lines must end with CR LF: some
/// programs take a bare LF as the end of a line and others do not.
fn find_end(buf: &[u8], searched: usize) -> Result<Option<usize>, ResultCode> {
    for index in searched..buf.len() {
        if buf[index] != b'\n' {
            continue;
        }
        if index == 0 || buf[index - 1] != b'\r' {
            return Err(ResultCode::MalformedRequest);
        }
        if buf[..=index].ends_with(b"\r\n\r\n") {
            return Ok(Some(index + 1));
        }
    }
    Ok(None)
}

fn framing(head: &[u8]) -> Result<Framing, ResultCode> {
    let malformed = ResultCode::MalformedRequest;
    let text = head.strip_suffix(b"\r\n\r\n").ok_or(malformed)?;
    let mut lines = text.split(|byte| *byte == b'\n').map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.contains(&b'\r') { Err(malformed) } else { Ok(line) }
    });
    let is_http_11 = check_request_line(lines.next().ok_or(malformed)??)?;
    let mut length = None;
    let mut chunked = false;
    for (index, line) in lines.enumerate() {
        if index == MAX_HEADERS {
            return Err(ResultCode::HeadTooLarge);
        }
        let (name, value) = split_header(line?).ok_or(malformed)?;
        if name == "content-length" && length.replace(parse_length(value)?).is_some() {
            return Err(malformed);
        }
        if name == "transfer-encoding" {
            if chunked || !is_http_11 || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(malformed);
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(malformed),
        (None, true) => Ok(Framing::Chunked),
        (length, false) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Checks the first line and tells whether the version is 1.1.
fn check_request_line(line: &[u8]) -> Result<bool, ResultCode> {
    let malformed = ResultCode::MalformedRequest;
    let mut parts = line.split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(malformed);
    };
    if target.len() > MAX_TARGET_BYTES {
        return Err(ResultCode::HeadTooLarge);
    }
    Method::from_bytes(method).map_err(|_| malformed)?;
    Uri::try_from(target).map_err(|_| malformed)?;
    match version {
        b"HTTP/1.1" => Ok(true),
        b"HTTP/1.0" => Ok(false),
        _ => Err(malformed),
    }
}

fn split_header(line: &[u8]) -> Option<(HeaderName, &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let name = HeaderName::from_bytes(&line[..colon]).ok()?;
    let value = line[colon + 1..].trim_ascii();
    HeaderValue::from_bytes(value).ok()?;
    Some((name, value))
}

fn parse_length(value: &[u8]) -> Result<u64, ResultCode> {
    let text = std::str::from_utf8(value).map_err(|_| ResultCode::MalformedRequest)?;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length: Option<i64> = digits.then(|| text.parse().ok()).flatten();
    length.map(i64::unsigned_abs).ok_or(ResultCode::MalformedRequest)
}
