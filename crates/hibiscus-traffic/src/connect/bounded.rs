//! Limits on the bytes that a backend server may send before the head of its
//! response is complete.
//!
//! The HTTP library reads informational (1xx) responses in one poll for as long
//! as bytes are available. On a single-threaded runtime no other task runs
//! meanwhile. [`BoundedStream`], the stream below the library, therefore yields
//! after a number of bytes and fails when a head exceeds its size limit.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::connect::path::PathStream;

/// Bytes that are read before yielding to other tasks, a few milliseconds of
/// work.
const YIELD_AFTER_BYTES: usize = 64 * 1024;
/// Maximum size of a response's head, including informational responses before
/// it.
pub(super) const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Counts the bytes of a response's head. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct HeadByteCounter {
    /// Bytes so far; `None` while no head is awaited.
    bytes: Rc<Cell<Option<usize>>>,
}

impl HeadByteCounter {
    /// Starts counting the head of a response.
    pub fn begin(&self) {
        self.bytes.set(Some(0));
    }

    /// Stops counting, since the head is complete.
    pub fn end(&self) {
        self.bytes.set(None);
    }

    /// Whether the head exceeds its size limit.
    fn exceeds_limit(&self) -> bool {
        self.bytes
            .get()
            .is_some_and(|bytes| bytes >= HEAD_LIMIT_BYTES)
    }

    fn add(&self, bytes: usize) {
        self.bytes
            .set(self.bytes.get().map(|before| before + bytes));
    }
}

/// A connection to a server that yields to other tasks while reading and limits
/// the size of heads.
#[derive(Debug)]
pub struct BoundedStream {
    stream: PathStream,
    head_counter: HeadByteCounter,
    /// Bytes read since the last yield.
    bytes_since_yield: usize,
}

impl BoundedStream {
    /// Wraps `stream`; `head_counter` counts the bytes of its heads.
    pub fn new(stream: PathStream, head_counter: HeadByteCounter) -> Self {
        Self {
            stream,
            head_counter,
            bytes_since_yield: 0,
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head_counter.exceeds_limit() {
            let error = io::Error::other("the head of the response exceeds the size limit");
            return Poll::Ready(Err(error));
        }
        if self.bytes_since_yield >= YIELD_AFTER_BYTES {
            self.bytes_since_yield = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() {
            self.bytes_since_yield = 0;
            return Poll::Pending;
        }
        let bytes = buffer.filled().len() - before;
        self.bytes_since_yield += bytes;
        self.head_counter.add(bytes);
        read
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }
}
