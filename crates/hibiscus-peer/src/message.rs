//! Whole messages over streams.

use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;

/// Code of a stream that ended before its message was whole.
const CUT_CODE: VarInt = VarInt::from_u32(1);

/// The sending half of a stream. Dropping it before the message is whole
/// resets the stream: `quinn` by itself would end it in the usual way, and the
/// receiver would take the part for the whole.
#[derive(Debug)]
pub(crate) struct MessageSender {
    stream: SendStream,
    whole: bool,
}

impl MessageSender {
    /// A sender of one message.
    pub(crate) fn new(stream: SendStream) -> Self {
        Self {
            stream,
            whole: false,
        }
    }

    /// Sends the message; `None` when the peer has left.
    pub(crate) async fn send(&mut self, message: &[u8]) -> Option<()> {
        self.stream.write_all(message).await.ok()?;
        self.stream.finish().ok()?;
        self.whole = true;
        Some(())
    }

    /// Waits until the receiver asks for no more, or is gone.
    pub(crate) async fn left(&self) {
        let _code = self.stream.stopped().await;
    }
}

impl Drop for MessageSender {
    fn drop(&mut self) {
        if !self.whole {
            let _closed = self.stream.reset(CUT_CODE);
        }
    }
}

/// Receives one whole message of up to `limit` bytes; `None` when it is cut or
/// larger.
pub(crate) async fn receive(stream: &mut RecvStream, limit: usize) -> Option<Vec<u8>> {
    stream.read_to_end(limit).await.ok()
}
