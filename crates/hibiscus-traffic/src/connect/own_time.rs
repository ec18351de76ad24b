//! Timeouts that do not count the time for which this instance is late itself.
//!
//! While the event loop is late, a response may have arrived and wait to be processed. A
//! timeout of the clock would then speak against the peer for what this instance lacks.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Most time that counts for one turn of the event loop.
const TURN_LIMIT: Duration = Duration::from_millis(100);

/// Waits for `work` for `limit`, of which each turn of the event loop counts as
/// [`TURN_LIMIT`] at most; returns `None` if it has not ended then.
pub async fn timeout<F: Future>(limit: Duration, work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    let mut left = limit;
    while !left.is_zero() {
        let turn = left.min(TURN_LIMIT);
        if let Ok(output) = tokio::time::timeout(turn, work.as_mut()).await {
            return Some(output);
        }
        left -= turn;
    }
    // What has arrived by now reaches the task of its connection in one turn, and `work` in
    // the next.
    for _turn in 0..2 {
        tokio::task::yield_now().await;
    }
    tokio::time::timeout(Duration::ZERO, work).await.ok()
}
