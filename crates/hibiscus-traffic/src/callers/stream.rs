//! Connections of callers.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hibiscus_routing::path_monitor::PathState;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::callers::CallerPhase;
use crate::callers::CallerRegistry;
use crate::callers::CallerSlot;
use crate::callers::traffic::TrafficCounter;
use crate::callers::unread::UnreadBytes;
use crate::connect::path::PathStream;
use crate::connect::path::StallLimit;

/// Send buffer of a connection in bytes, of which the system uses twice as many. Without it
/// the system holds megabytes for a caller that does not read, beside the process's own bounds.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// A caller's connection. It detects when the head of a request begins, and takes more of a
/// response than the caller reads, within the bounds of [`UnreadBytes`].
#[derive(Debug)]
pub struct WatchedStream {
    stream: PathStream,
    slot: Rc<CallerSlot>,
    counter: TrafficCounter,
    unread: UnreadBytes,
    /// Bytes of the last write that there was no room for.
    refused: usize,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, slot: Rc<CallerSlot>, registry: &CallerRegistry) -> Self {
        // A failure is ignored: the connection works without the option.
        let _tuned = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        Self {
            stream: PathStream::new(stream),
            slot,
            counter: TrafficCounter::new(&registry.traffic),
            unread: UnreadBytes::new(&registry.unread),
            refused: 0,
        }
    }

    /// Writes what is held; ready when nothing is.
    fn poll_unread(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unread.is_empty() {
            let stream = Pin::new(&mut self.stream);
            let written = ready!(stream.poll_write(context, self.unread.first()))?;
            self.counter.note_carried(written);
            self.unread.consume(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Writes `parts`, or holds what the connection does not take.
    fn poll_parts(
        &mut self,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let limit = StallLimit::for_caller(self.slot.deadline.get());
        self.stream.set_stall_limit(limit);
        let polled = match self.poll_unread(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_write_vectored(context, parts),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        };
        self.refused = 0;
        let polled = match polled {
            Poll::Ready(Ok(written)) => {
                self.counter.note_carried(written);
                Poll::Ready(Ok(written))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.hold(parts),
        };
        self.count_waiting();
        polled
    }

    /// Holds as much of `parts` as there is room for.
    fn hold(&mut self, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let mut held = 0;
        for part in parts {
            let taken = self.unread.push(part);
            held += taken;
            if taken < part.len() {
                break;
            }
        }
        if held == 0 {
            self.refused = parts.iter().map(|part| part.len()).sum();
            return Poll::Pending;
        }
        Poll::Ready(Ok(held))
    }

    /// Counts the bytes that wait. A connection with any is not idle.
    fn count_waiting(&mut self) {
        let waiting = self.unread.len() + self.refused;
        let is_stalled = self.stream.state() == PathState::WindowClosed;
        self.counter.set_waiting(waiting, is_stalled);
        self.slot.is_unread.set(waiting > 0);
        if let Some(pause) = self.slot.pause.borrow().as_ref() {
            pause.set_paused(self.refused > 0);
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let is_idle = self.slot.phase.get() == CallerPhase::Idle;
        let received = buffer.filled().len() - before;
        self.counter.note_carried(received);
        // After a refused request, the HTTP library reads the rest of the body once
        // or closes the connection.
        if is_idle && received > 0 && !self.slot.unread_body.take() {
            self.slot.enter_phase(CallerPhase::Starting);
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_parts(context, &[IoSlice::new(bytes)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let written = self.poll_unread(context);
        self.count_waiting();
        ready!(written)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let written = self.poll_unread(context);
        self.count_waiting();
        ready!(written)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_parts(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
