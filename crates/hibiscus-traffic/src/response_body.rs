//! Bodies of HTTP responses to callers: complete ones, and streams that are
//! forwarded as they arrive.

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

/// Time after the deadline during which bytes that have already arrived are
/// still forwarded, so that a response that is ready is delivered although it
/// is late.
const LATE_DELIVERY_TIME: Duration = Duration::from_millis(250);
/// Maximum size of one event, counted from the end of the event before it.
const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// Why a response body ends early. The caller's connection is closed, so that
/// the caller sees an incomplete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The server closed the connection or ended the body within an event.
    Broken,
    /// An event is missing, repeated or out of order.
    OutOfOrder,
    /// The request's deadline passed.
    TimedOut,
    /// An event exceeds the size limit.
    EventTooLong,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the server ended the response early",
            Self::OutOfOrder => "an event is missing or repeated",
            Self::TimedOut => "the request's deadline passed",
            Self::EventTooLong => "an event exceeds the size limit",
        })
    }
}

impl std::error::Error for BodyFault {}

/// Forwards a stream of events from a server to a caller. Dropping it before the
/// end of the stream closes the connection to the server.
pub struct StreamForwarder {
    body: Incoming,
    /// Whether the end of the body is marked by a length or a last chunk. Otherwise it
    /// ends with its connection.
    is_framed: bool,
    parser: EventParser,
    deadline: Pin<Box<Sleep>>,
    tracker: ResponseTracker,
    ended: bool,
}

impl StreamForwarder {
    /// Forwards `body` until `deadline`. `is_framed` is whether its end is marked. If `after` is given, the first event must
    /// be the next one after that number.
    pub fn new(
        body: Incoming,
        is_framed: bool,
        after: Option<u64>,
        deadline: Sleep,
        tracker: ResponseTracker,
    ) -> Self {
        Self {
            body,
            is_framed,
            parser: EventParser::after(after),
            deadline: Box::pin(deadline),
            tracker,
            ended: false,
        }
    }

    /// Whether the body is complete if it ends now. A connection that ends before the
    /// first event is of a server that crashed.
    fn is_complete(&self) -> bool {
        self.parser.is_at_boundary() && (self.is_framed || self.parser.events() > 0)
    }

    fn end(&mut self, fault: Option<BodyFault>) {
        if !self.ended {
            self.ended = true;
            self.tracker.record_end(fault);
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
        // The timer is polled only while no bytes are available, so a body that
        // always has bytes needs this check.
        if Instant::now() > self.deadline.deadline() + LATE_DELIVERY_TIME {
            return self.fail(BodyFault::TimedOut);
        }
        match frame {
            Some(Ok(frame)) => {
                let Some(data) = frame.data_ref() else {
                    return Poll::Ready(Some(Ok(frame)));
                };
                let events = self.parser.feed(data);
                if self.parser.is_out_of_order() {
                    return self.fail(BodyFault::OutOfOrder);
                }
                if self.parser.bytes_since_event() > EVENT_LIMIT_BYTES {
                    return self.fail(BodyFault::EventTooLong);
                }
                self.tracker.record_events(events);
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_broken)) => self.fail(BodyFault::Broken),
            None if self.is_complete() => {
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
            self.tracker.record_caller_left();
        }
    }
}

/// The body of a response to a caller.
pub enum ResponseBody {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// A stream that is forwarded as it arrives.
    Stream(Box<StreamForwarder>),
}

impl ResponseBody {
    /// Creates a complete body.
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
            Self::Stream(forwarder) => forwarder.poll_next(context),
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
            Self::Stream(_forwarder) => SizeHint::default(),
        }
    }
}
