//! Complete messages over streams.

use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;

/// Error code of a stream that was reset before its message was complete.
const INCOMPLETE_CODE: VarInt = VarInt::from_u32(1);

/// The sending half of a stream. Dropping it before the message is complete
/// resets the stream: `quinn` by itself would finish it normally, and the
/// receiver would accept the part as the complete message.
#[derive(Debug)]
pub(crate) struct MessageSender {
    stream: SendStream,
    complete: bool,
}

impl MessageSender {
    /// Creates a sender for one message.
    pub(crate) fn new(stream: SendStream) -> Self {
        Self {
            stream,
            complete: false,
        }
    }

    /// Sends the message; returns `None` if the peer no longer receives it.
    pub(crate) async fn send(&mut self, message: &[u8]) -> Option<()> {
        self.stream.write_all(message).await.ok()?;
        self.stream.finish().ok()?;
        self.complete = true;
        Some(())
    }

    /// Waits until the receiver stops the stream or the connection is lost.
    pub(crate) async fn stopped(&self) {
        let _code = self.stream.stopped().await;
    }
}

impl Drop for MessageSender {
    fn drop(&mut self) {
        if !self.complete {
            let _closed = self.stream.reset(INCOMPLETE_CODE);
        }
    }
}

/// Receives one complete message of up to `limit` bytes; returns `None` if the
/// message is incomplete or larger.
pub(crate) async fn receive(stream: &mut RecvStream, limit: usize) -> Option<Vec<u8>> {
    stream.read_to_end(limit).await.ok()
}
