//! Body of an answer to a caller, fed from another thread.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller.
const RING_CAPACITY: usize = 32;

/// Parts of an answer that is sent at once.
const WHOLE_PARTS: usize = 2;

/// The answer broke off: the connection is closed without its end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("failed to send the whole answer")]
pub struct BrokenAnswer;

/// One piece of an answer, or its breaking off.
pub type Result<T> = std::result::Result<T, BrokenAnswer>;

/// What travels to the caller's connection.
#[derive(Debug)]
enum AnswerPart {
    /// Some bytes.
    Piece(Bytes),
    /// The answer is whole.
    End,
}

/// Sends the pieces of an answer. Dropping it without [`Self::finish`] breaks
/// the answer off, so that a request whose thread ends early is never shown
/// as whole.
#[derive(Debug)]
pub struct AnswerSender {
    ring: mpsc::Sender<AnswerPart>,
}

/// The pieces of an answer as a body.
pub struct AnswerBody {
    ring: mpsc::Receiver<AnswerPart>,
    ended: bool,
    /// Whether the connection has had the chance to write the pieces taken.
    yielded: bool,
    /// Bytes of an answer that is sent at once.
    length: Option<u64>,
}

/// A new answer body and the handle that feeds it.
pub fn channel() -> (AnswerSender, AnswerBody) {
    let (sender, receiver) = mpsc::channel(RING_CAPACITY);
    let body = AnswerBody {
        ring: receiver,
        ended: false,
        yielded: true,
        length: None,
    };
    (AnswerSender { ring: sender }, body)
}

impl AnswerSender {
    /// Sends one piece, waiting for a slow caller; false when it has left.
    pub fn send(&self, piece: impl Into<Bytes>) -> bool {
        let part = AnswerPart::Piece(piece.into());
        self.ring.blocking_send(part).is_ok()
    }

    /// Ends a whole answer; false when the caller has left.
    pub fn finish(self) -> bool {
        self.ring.blocking_send(AnswerPart::End).is_ok()
    }

    /// Closes the connection without the answer's end.
    pub fn break_off(self) {}

    /// Whether the caller has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.ring.is_closed()
    }
}

impl AnswerBody {
    /// A body of one piece.
    pub fn whole(piece: impl Into<Bytes>) -> Self {
        let piece = piece.into();
        let length = piece.len() as u64;
        let (sender, ring) = mpsc::channel(WHOLE_PARTS);
        let _sent = sender.try_send(AnswerPart::Piece(piece));
        let _sent = sender.try_send(AnswerPart::End);
        Self {
            ring,
            ended: false,
            yielded: true,
            length: Some(length),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let part = match self.ring.poll_recv(context) {
            Poll::Ready(part) => part,
            Poll::Pending => return Poll::Pending,
        };
        if let Some(AnswerPart::Piece(piece)) = part {
            self.yielded = false;
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if part.is_none() && !self.yielded {
            // On an error the connection drops the pieces that it has not written.
            self.yielded = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.ended = true;
        match part {
            Some(_end) => Poll::Ready(None),
            None => Poll::Ready(Some(Err(BrokenAnswer))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self.length {
            Some(length) if !self.ended => SizeHint::with_exact(length),
            _ => SizeHint::default(),
        }
    }
}
