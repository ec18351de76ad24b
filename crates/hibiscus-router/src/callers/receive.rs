//! Receives request bodies within bounds of size, time and total memory.

use std::sync::Arc;
use std::time::Duration;

use hibiscus_types::RefusalReason;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::callers::answer::RequestFailure;
use crate::settings::LimitSettings;

/// Bytes that one permit of the memory bound stands for.
const PERMIT_BYTES: usize = 1024;

/// Result of receiving a body.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// Bounds the memory that all bodies of a process take together.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
}

/// A received body. Its memory counts until it is dropped.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The bytes.
    pub bytes: Bytes,
    /// The memory taken.
    pub memory: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    /// Room for `bytes`.
    pub fn new(bytes: usize) -> Self {
        let permits = bytes.div_ceil(PERMIT_BYTES).min(Semaphore::MAX_PERMITS);
        Self {
            permits: Arc::new(Semaphore::new(permits)),
        }
    }

    /// Takes memory for `bytes` more, or refuses at once.
    fn take(&self, bytes: usize) -> Result<OwnedSemaphorePermit> {
        let count = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        Arc::clone(&self.permits)
            .try_acquire_many_owned(count)
            .map_err(|_full| {
                RequestFailure::unadmitted(
                    RefusalReason::Overloaded,
                    "failed to take the request: the memory for request bodies is in use",
                )
            })
    }
}

/// Receives a whole body within the limits of `limits`.
pub async fn receive(
    body: Incoming,
    limits: &LimitSettings,
    memory: &BodyMemory,
) -> Result<ReceivedBody> {
    let timeout = Duration::from_millis(limits.receive_ms);
    match tokio::time::timeout(timeout, collect(body, limits.body_bytes, memory)).await {
        Ok(received) => received,
        Err(_late) => {
            let message = format!("failed to receive the body within {} ms", limits.receive_ms);
            Err(RequestFailure::unadmitted(
                RefusalReason::ReceiveTimeout,
                message,
            ))
        }
    }
}

/// Joins the parts of a body of at most `limit` bytes. Memory is taken part
/// by part, so that a slow sender holds only what it has sent.
async fn collect(mut body: Incoming, limit: usize, memory: &BodyMemory) -> Result<ReceivedBody> {
    let mut bytes = Vec::new();
    let mut taken: Option<OwnedSemaphorePermit> = None;
    let mut counted = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(RequestFailure::unadmitted(
                RefusalReason::BadRequest,
                "failed to receive the body: it is broken or ended early",
            ));
        };
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let total = bytes.len() + part.len();
        if total > limit {
            let message = format!("failed to receive the body: it is larger than {limit} bytes");
            return Err(RequestFailure::unadmitted(
                RefusalReason::BodyTooLarge,
                message,
            ));
        }
        if total > counted {
            let more = (total - counted).next_multiple_of(PERMIT_BYTES);
            let permit = memory.take(more)?;
            counted += more;
            match &mut taken {
                Some(taken) => taken.merge(permit),
                None => taken = Some(permit),
            }
        }
        bytes.extend_from_slice(&part);
    }
    Ok(ReceivedBody {
        bytes: Bytes::from(bytes),
        memory: taken,
    })
}
