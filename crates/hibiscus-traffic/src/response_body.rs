//! Bodies of answers: whole ones, and streams that pass as they arrive.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::in_flight::ResponseTracker;
use crate::stream::EventParser;

/// Time after the deadline within which what has arrived is passed on: an
/// answer that is ready is delivered, also when it is late.
const READY_TIME: Duration = Duration::from_millis(250);
/// Bytes from the end of one event to the end of the next.
const EVENT_LIMIT: usize = 256 * 1024;

/// The answer breaks off: the caller must see that it is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The server broke off.
    Broken,
    /// An event's number does not follow the one before.
    Disordered,
    /// The request's time ran out.
    TimedOut,
    /// The server sends bytes, and no event comes to its end.
    Endless,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the server broke the answer off",
            Self::Disordered => "an event is missing or came twice",
            Self::TimedOut => "the request's time ran out",
            Self::Endless => "an event does not end",
        })
    }
}

impl std::error::Error for BodyFault {}

/// A stream on its way from a server to a caller. Dropping it before its end
/// drops the server's connection.
pub struct StreamForwarder {
    body: Incoming,
    follower: EventParser,
    deadline: Pin<Box<Sleep>>,
    watcher: ResponseTracker,
    ended: bool,
}

impl StreamForwarder {
    /// Relays `body`, whose last event before it was `after`, until
    /// `deadline`.
    pub fn new(
        body: Incoming,
        after: Option<u64>,
        deadline: Sleep,
        watcher: ResponseTracker,
    ) -> Self {
        Self {
            body,
            follower: EventParser::after(after),
            deadline: Box::pin(deadline),
            watcher,
            ended: false,
        }
    }

    fn end(&mut self, fault: Option<BodyFault>) {
        if !self.ended {
            self.ended = true;
            self.watcher.ended(fault);
        }
    }

    fn fail(&mut self, fault: BodyFault) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        self.end(Some(fault));
        Poll::Ready(Some(Err(fault)))
    }

    fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else {
            if self.deadline.as_mut().poll(context).is_ready() {
                return self.fail(BodyFault::TimedOut);
            }
            return Poll::Pending;
        };
        // A body that always has bytes never comes to the timer.
        if Instant::now() > self.deadline.deadline() + READY_TIME {
            return self.fail(BodyFault::TimedOut);
        }
        match frame {
            Some(Ok(frame)) => {
                let Some(data) = frame.data_ref() else {
                    return Poll::Ready(Some(Ok(frame)));
                };
                let events = self.follower.take(data);
                if self.follower.is_disordered() {
                    return self.fail(BodyFault::Disordered);
                }
                if self.follower.bytes_since_event() > EVENT_LIMIT {
                    return self.fail(BodyFault::Endless);
                }
                self.watcher.passed(events);
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_broken)) => self.fail(BodyFault::Broken),
            None if self.follower.is_at_boundary() => {
                self.end(None);
                Poll::Ready(None)
            }
            None => self.fail(BodyFault::Broken),
        }
    }
}

impl Drop for StreamForwarder {
    fn drop(&mut self) {
        if !self.ended {
            self.watcher.left();
        }
    }
}

/// The body of an answer to a caller.
pub enum ResponseBody {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// A stream.
    Stream(Box<StreamForwarder>),
}

impl ResponseBody {
    /// A body of `bytes`.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(relay) => relay.poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Stream(_relay) => SizeHint::default(),
        }
    }
}
