//! Bounds on what a server may send before its answer has begun.
//!
//! The HTTP library reads interim answers for as long as bytes are there, in
//! one turn of its task. On a runtime of one thread nobody else runs meanwhile,
//! so the stream below it ends a turn of reading after some bytes, and fails
//! when a head does not come to its end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes that are read in one turn, a few milliseconds' work.
const TURN_BYTES: usize = 64 * 1024;
/// Bytes before the end of an answer's head, interim answers included.
const HEAD_LIMIT: usize = 64 * 1024;

/// Counts the bytes of an answer's head. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct HeadByteCounter {
    /// Bytes so far; `None` while no head is awaited.
    bytes: Rc<Cell<Option<usize>>>,
}

impl HeadByteCounter {
    /// A head is awaited from now on.
    pub fn begin(&self) {
        self.bytes.set(Some(0));
    }

    /// The head has come.
    pub fn end(&self) {
        self.bytes.set(None);
    }

    /// Whether the head is longer than any answer's.
    fn is_full(&self) -> bool {
        self.bytes.get().is_some_and(|bytes| bytes >= HEAD_LIMIT)
    }

    fn add(&self, bytes: usize) {
        self.bytes
            .set(self.bytes.get().map(|before| before + bytes));
    }
}

/// A connection to a server whose reading is bounded.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    head: HeadByteCounter,
    /// Bytes read in this turn.
    turn: usize,
}

impl BoundedStream {
    /// Bounds `stream`, whose heads `head` counts.
    pub fn new(stream: TcpStream, head: HeadByteCounter) -> Self {
        Self {
            stream,
            head,
            turn: 0,
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head.is_full() {
            let error = io::Error::other("the head of the answer does not end");
            return Poll::Ready(Err(error));
        }
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() {
            self.turn = 0;
            return Poll::Pending;
        }
        let bytes = buffer.filled().len() - before;
        self.turn += bytes;
        self.head.add(bytes);
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
