//! Body of an answer to a caller, fed from another thread.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller.
const RING_CAPACITY: usize = 32;

/// The answer broke off: the connection is closed without its end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("failed to send the whole answer")]
pub struct BrokenAnswer;

/// One piece of an answer, or its breaking off.
pub type Result<T> = std::result::Result<T, BrokenAnswer>;

/// Sends the pieces of an answer.
#[derive(Debug)]
pub struct AnswerSender {
    ring: mpsc::Sender<Result<Bytes>>,
}

/// The pieces of an answer as a body.
pub struct AnswerBody {
    ring: mpsc::Receiver<Result<Bytes>>,
}

/// A new answer body and the handle that feeds it.
pub fn channel() -> (AnswerSender, AnswerBody) {
    let (sender, receiver) = mpsc::channel(RING_CAPACITY);
    (AnswerSender { ring: sender }, AnswerBody { ring: receiver })
}

impl AnswerSender {
    /// Sends one piece, waiting for a slow caller; false when it has left.
    pub fn send(&self, piece: impl Into<Bytes>) -> bool {
        self.ring.blocking_send(Ok(piece.into())).is_ok()
    }

    /// Closes the connection without the answer's end.
    pub fn break_off(&self) {
        let _left = self.ring.blocking_send(Err(BrokenAnswer));
    }

    /// Whether the caller has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.ring.is_closed()
    }
}

impl AnswerBody {
    /// A body of one piece.
    pub fn whole(piece: impl Into<Bytes>) -> Self {
        let (sender, ring) = mpsc::channel(1);
        let _sent = sender.try_send(Ok(piece.into()));
        Self { ring }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.ring
            .poll_recv(context)
            .map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}
