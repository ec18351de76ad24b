//! Whether the account stream holds all draws.
//!
//! After the store came back from a copy, the stream lacks draws until the instances that
//! had read them append them again ([`crate::budgets::restore`]). A process that starts
//! meanwhile can't see this in the stream. So the era of the store in which the stream is
//! complete is kept in a keyed topic, which comes back from the copy with the era before.
//! The instances that restore the stream write the present era there when they draw again.
//! Until it is there, a process that started in between neither draws nor closes accounts.
//!
//! An instance that holds no budget does not read the stream. If the store comes back from a
//! copy meanwhile, the instance knows no more of the lost draws than a process that starts.
//!
//! If nobody writes it, all instances that had read the lost draws have ended. Nothing tells
//! what was drawn since the copy, so all that the copy shows as free counts as spent, until
//! the total is raised.

use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::StoreEra;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetManager;

/// Topic of the era in which the account stream is complete.
pub const COMPLETE_ERA_TOPIC: &str = "keyed.accounts-era";
/// Key of the only record of that topic.
pub const COMPLETE_ERA_KEY: &str = "complete";

/// Time after which instances other than the first holder record the era.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Time within which instances that had read the lost draws record the era: a failed read
/// takes up to 2.4 s, draws resume 2.5 s later, and another holder takes over after 1.5 s.
const RESTORE_LIMIT: Duration = Duration::from_secs(8);
/// Further time after which instances other than the first holder count tokens as lost.
const LOSS_TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Machine of the accounts that hold lost tokens; no instance has this name.
const LOST_MACHINE: &str = "";
/// Time after which the era is recorded again, if it was not read.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// What a process knows of the completeness of the stream.
#[derive(Debug, Default)]
pub(super) struct StreamCompleteness {
    /// Whether the era in the topic must be read first.
    is_unread: bool,
    /// The era in the topic; `None` if there is none.
    recorded: Option<StoreEra>,
    /// Whether this process has read a complete stream, and can restore it since.
    has_read_complete: bool,
    /// Whether the stream may have records that this process has not read, as it reads none or
    /// has not read it to its end since.
    is_paused: bool,
    /// When the stream was first read to its end in the present era.
    caught_up_at: Option<Duration>,
    /// When the era was last recorded.
    written_at: Option<Duration>,
}

impl StreamCompleteness {
    /// Records that the store came back from a copy.
    pub(super) fn note_era_changed(&mut self) {
        self.has_read_complete &= !self.is_paused;
        self.caught_up_at = None;
        self.written_at = None;
    }

    /// Whether the era should be recorded that is complete since `complete_since`.
    fn is_record_due(&self, is_first: bool, complete_since: Duration, now: Duration) -> bool {
        let delay = if is_first {
            Duration::ZERO
        } else {
            TAKEOVER_DELAY
        };
        let complete_since = self.caught_up_at.map(|at| at.max(complete_since));
        let is_time = complete_since.is_some_and(|since| now >= since + delay);
        let written = self.written_at.map(|at| now.saturating_sub(at));
        is_time && written.is_none_or(|since| since >= REPEAT_INTERVAL)
    }
}

impl BudgetManager {
    /// Makes this process draw only after it has read the era in the topic.
    pub fn require_complete_era(&mut self) {
        self.completeness.is_unread = true;
    }

    /// Records the era that the topic names as the one in which the stream is complete,
    /// read in the era `current`.
    pub fn set_complete_era(&mut self, recorded: Option<StoreEra>, current: StoreEra) {
        self.completeness.is_unread = false;
        self.completeness.recorded = recorded;
        self.era = self.era.max(current);
    }

    /// Records that this process reads no records of the stream until it is read to its end
    /// again.
    pub fn note_reading_paused(&mut self) {
        self.completeness.is_paused = true;
    }

    /// Whether the stream may lack draws that this process has never read.
    pub fn may_lack_draws(&self) -> bool {
        let is_earlier = match self.completeness.recorded {
            Some(recorded) => recorded < self.era,
            // The copy is from before the first era was recorded, which takes some seconds
            // from the first draw on. A stream without accounts has lost nothing.
            None => self.era > StoreEra::default() && self.has_accounts_of_others(),
        };
        !self.completeness.has_read_complete && (self.completeness.is_unread || is_earlier)
    }

    /// Whether the stream shows an account of another process.
    fn has_accounts_of_others(&self) -> bool {
        let mut accounts = self.fold.budgets().values();
        accounts.any(|account| account.holders.keys().any(|holder| *holder != self.holder))
    }

    /// Counts all that the stream shows as free as spent if nobody has restored it by `now`.
    /// `is_first` is whether this instance is the first holder of a budget.
    pub(super) fn count_lost_tokens(&mut self, is_first: bool, now: Duration) {
        let delay = if is_first {
            RESTORE_LIMIT
        } else {
            RESTORE_LIMIT + LOSS_TAKEOVER_DELAY
        };
        let is_time = self
            .completeness
            .caught_up_at
            .is_some_and(|at| now >= at + delay);
        if !is_time || self.completeness.is_unread || self.totals.is_empty() {
            return;
        }
        let lost_holder = IncarnationId::generate();
        let all = TokenCount::new(u64::MAX);
        for (budget, total) in &self.totals {
            self.unsent.push(AccountRecord::Prepaid {
                budget: budget.clone(),
                version: total.version,
                tokens: total.tokens,
            });
            self.unsent.push(AccountRecord::Draw {
                budget: budget.clone(),
                holder: lost_holder,
                machine: InstanceName::new(LOST_MACHINE),
                serial: 1,
                tokens: all,
            });
            let account = self.fold.budget(budget);
            let holders = account
                .into_iter()
                .flat_map(|account| account.holders.keys());
            for holder in holders.copied().chain([lost_holder]) {
                self.unsent.push(AccountRecord::Close {
                    budget: budget.clone(),
                    holder,
                    spent: all,
                });
            }
            event!(
                EventCode::TokensLost,
                "budget={budget} era={} free={} prepaid={}",
                self.era,
                account.map_or(total.tokens, |account| account.free()),
                total.tokens
            );
        }
        self.completeness.has_read_complete = true;
    }

    /// Whether the stream holds all draws, so that accounts can be closed: a close that
    /// counts too few tokens as spent is final.
    pub fn has_all_draws(&self) -> bool {
        !self.is_draw_pause && self.restore.is_none() && !self.may_lack_draws()
    }

    /// Ends the pause after the store came back from a copy, if it is over at `now`, and
    /// closes the accounts of earlier processes that it has held up.
    pub(super) fn end_draw_pause(&mut self, now: Duration) {
        self.is_draw_pause &= now < self.draws_resume_at;
        if !self.is_draw_pause {
            self.unsent_encoded.append(&mut self.late_closes);
        }
        if self.completeness.caught_up_at.is_some() {
            self.recover();
        }
    }

    /// Records that the stream was read to its end at `now`.
    pub(super) fn note_stream_read(&mut self, now: Duration) {
        self.completeness.has_read_complete |= !self.may_lack_draws();
        self.completeness.is_paused = false;
        self.completeness.caught_up_at.get_or_insert(now);
    }

    /// The era to record as the one in which the stream is complete, if it is not recorded.
    /// `is_first` is whether this instance is the first holder of a budget.
    pub(super) fn complete_era_due(&mut self, is_first: bool, now: Duration) -> Option<StoreEra> {
        let is_recorded = self.completeness.recorded == Some(self.era);
        let is_complete = self.completeness.has_read_complete && self.restore.is_none();
        let since = self.draws_resume_at;
        if is_recorded || !is_complete || !self.completeness.is_record_due(is_first, since, now) {
            return None;
        }
        self.completeness.written_at = Some(now);
        Some(self.era)
    }
}
