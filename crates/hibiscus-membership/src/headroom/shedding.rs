//! Decides how a full instance makes callers use others.
//!
//! At first the lists of addresses omit it, and its callers renew these within seconds.
//! Then it closes the connections of a share of its callers with their responses. What
//! it accepts meanwhile is bounded by [`crate::headroom::admission`].

use std::time::Duration;

use crate::headroom::gauge::HeadroomLevel;

/// Time for which a full instance relies on lists that omit it: half of the callers have
/// renewed theirs.
const CLOSE_AFTER: Duration = Duration::from_secs(4);
/// Share of its connections that an instance closes in a second. Their callers begin
/// anew elsewhere, and an instance needs processor time for each new connection.
const CLOSE_SHARE: f64 = 0.1;
/// How an instance sheds load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SheddingStage {
    /// Not at all.
    #[default]
    None,
    /// Lists of addresses omit the instance.
    Unlisted,
    /// Responses close the connections of a share of the callers.
    Closing,
    /// A share of the new requests is refused.
    Refusing,
}

impl SheddingStage {
    /// Name for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Unlisted => "unlisted",
            Self::Closing => "closing",
            Self::Refusing => "refusing",
        }
    }
}

/// State of an instance that the decision depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SheddingInput {
    /// Level of the headroom.
    pub level: HeadroomLevel,
    /// Whether a share of the new requests is refused.
    pub is_refusing: bool,
    /// Open connections of callers.
    pub connections: usize,
    /// Whether other instances have room for the callers.
    pub has_room_elsewhere: bool,
}

/// Decides how one instance sheds load.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    full_since: Option<Duration>,
    stage: SheddingStage,
    updated_at: Duration,
    /// Connections that may be closed now.
    closes: f64,
}

impl LoadShedder {
    /// The stage at the last update.
    pub fn stage(&self) -> SheddingStage {
        self.stage
    }

    /// Updates the stage at `now`; returns whether it changed.
    pub fn update(&mut self, input: &SheddingInput, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let is_full = input.level == HeadroomLevel::Full;
        self.full_since = is_full.then(|| self.full_since.unwrap_or(now));
        let full = self.full_since.map(|since| now.saturating_sub(since));
        let closes = full.is_some_and(|full| full >= CLOSE_AFTER) && input.has_room_elsewhere;
        if closes {
            let per_second = input.connections as f64 * CLOSE_SHARE;
            let added = per_second * elapsed.as_secs_f64();
            self.closes = (self.closes + added).min(per_second.max(1.0));
        } else {
            self.closes = 0.0;
        }
        let before = self.stage;
        self.stage = if input.is_refusing {
            SheddingStage::Refusing
        } else if closes {
            SheddingStage::Closing
        } else if is_full {
            SheddingStage::Unlisted
        } else {
            SheddingStage::None
        };
        before != self.stage
    }

    /// Whether the response that is sent now closes its connection.
    pub fn take_close(&mut self) -> bool {
        if self.closes < 1.0 {
            return false;
        }
        self.closes -= 1.0;
        true
    }
}
