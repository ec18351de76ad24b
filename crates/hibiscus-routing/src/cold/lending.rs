//! Which instance schedules the requests to a cold server, and from when on.
//!
//! The requests to a cold server need permits ([`crate::permits`]) of one instance,
//! its lender. The bound holds for each second, and the permits of several lenders
//! add up, so there is only one lender, and it does not begin while an earlier one
//! may still grant permits:
//!
//! - the lender is the instance that ranks first for the server's name among those
//!   that respond. The name is the same for all processes of the server, so
//!   instances that know different processes ask the same lender;
//! - an instance that ranks before it and was lost may still grant permits, as long
//!   as it has not found out that it is cut off. The new lender waits for
//!   [`TAKEOVER_DELAY`];
//! - an instance that others take for lost, or do not know yet, may take itself for
//!   the lender while they use another one. So a lender grants permits only while the
//!   instance that ranks after it has confirmed, within [`CONFIRMATION_TIME`], that it
//!   is not the lender in its own view;
//! - both sides of a partition have a lender. Each grants the share of the rate that
//!   corresponds to its instances, the lowest within [`SHARE_MEMORY`], so that no
//!   side uses the whole before the other has found out that the partition is over;
//! - an instance that has just started may not know the others yet, so it waits until
//!   its view is settled.
//!
//! If none of this is the case, the lender begins at once: a cold time is a few
//! seconds long.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

/// Time after the loss of an earlier lender in which its permits may still be used:
/// instances find out within 0.6 s of each other that they are separated, and permits
/// start up to 0.5 s after they were granted.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Time for which the confirmation of the instance that ranks next is valid.
pub const CONFIRMATION_TIME: Duration = Duration::from_secs(2);
/// Time for which a lender keeps to the lowest share of responding instances: the
/// instances find out within it that a partition is over.
pub const SHARE_MEMORY: Duration = Duration::from_secs(2);
/// Time without a new instance after which the view of a process that has just
/// started is complete.
pub const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Time between two observations after which the process was frozen: others may have
/// taken over meanwhile.
const PAUSE_LIMIT: Duration = Duration::from_millis(2_500);
/// Age of a process up to which instances that appear may be old ones that it did not
/// know yet.
const STARTUP_TIME: Duration = Duration::from_secs(10);

/// Part of an instance in the permits for one cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdRole<'a> {
    /// The instance grants permits.
    Lender {
        /// Share of the server's rate that may be used.
        share: f64,
        /// Earliest start of a permit.
        not_before: Instant,
    },
    /// The instance requests permits from this one.
    Borrower(&'a InstanceName),
    /// The instance may not know the lender yet.
    Unsettled,
}

/// The instances that may be lenders, as known to one instance over time.
#[derive(Clone, Debug)]
pub struct LenderView {
    own: InstanceName,
    started_at: Instant,
    /// When the announcements of the instances were read.
    read_at: Option<Instant>,
    /// When an instance last appeared while this process was starting, or when the
    /// process went on after a pause.
    appeared_at: Option<Instant>,
    observed_at: Option<Instant>,
    responding: BTreeSet<InstanceName>,
    /// Instances that responded until recently, and when they were lost.
    lost: BTreeMap<InstanceName, Instant>,
    /// Shares of responding instances, and since when.
    shares: VecDeque<(Instant, f64)>,
}

impl LenderView {
    /// The view of the process of `own` that started at `started_at`.
    pub fn new(own: InstanceName, started_at: Instant) -> Self {
        Self {
            own,
            started_at,
            read_at: None,
            appeared_at: None,
            observed_at: None,
            responding: BTreeSet::new(),
            lost: BTreeMap::new(),
            shares: VecDeque::new(),
        }
    }

    /// Records that the announcements of the instances were read by `now`.
    pub fn note_read(&mut self, now: Instant) {
        self.read_at.get_or_insert(now);
    }

    /// Records the instances that respond and may be lenders at `now`, and their
    /// share of all that may be live.
    pub fn observe<'a>(
        &mut self,
        responding: impl Iterator<Item = &'a InstanceName>,
        share: f64,
        now: Instant,
    ) {
        let responding: BTreeSet<_> = responding.cloned().collect();
        for name in self.responding.difference(&responding) {
            self.lost.insert(name.clone(), now);
        }
        let mut appeared = responding.difference(&self.responding);
        if appeared.next().is_some() && now < self.started_at + STARTUP_TIME {
            self.appeared_at = Some(now);
        }
        self.lost
            .retain(|name, at| !responding.contains(name) && now < *at + TAKEOVER_DELAY);
        self.responding = responding;
        self.note_share(share, now);
    }

    /// Records the share of the instances that respond at `now`. Called at least once
    /// a second.
    pub fn note_share(&mut self, share: f64, now: Instant) {
        let observed_at = self.observed_at.replace(now);
        if observed_at.is_some_and(|at| now.saturating_duration_since(at) > PAUSE_LIMIT) {
            self.appeared_at = Some(now);
        }
        if self.shares.back().is_none_or(|(_at, last)| *last != share) {
            self.shares.push_back((now, share));
        }
        while self
            .shares
            .get(1)
            .is_some_and(|(at, _share)| *at + SHARE_MEMORY <= now)
        {
            self.shares.pop_front();
        }
    }

    /// Part of this instance in the permits for the server `subject`.
    pub fn role(&self, subject: &str, now: Instant) -> ColdRole<'_> {
        let Some(first) = self.first_in_rank(subject) else {
            return ColdRole::Unsettled;
        };
        if *first != self.own {
            return ColdRole::Borrower(first);
        }
        let Some(settled_at) = self.settled_at().filter(|at| *at <= now) else {
            return ColdRole::Unsettled;
        };
        let own = rank(subject, &self.own);
        let earlier = self.lost.iter();
        let earlier = earlier.filter(|(name, _at)| rank(subject, name) < own);
        let earlier = earlier.map(|(_name, at)| *at + TAKEOVER_DELAY);
        ColdRole::Lender {
            share: self.lowest_share(),
            not_before: earlier.fold(settled_at, Instant::max),
        }
    }

    /// The instance that ranks first for the server `subject` among those that respond
    /// to this one.
    pub fn first_in_rank(&self, subject: &str) -> Option<&InstanceName> {
        let responding = self.responding.iter();
        responding.min_by_key(|name| rank(subject, name))
    }

    /// The instance that ranks first of the others for the server `subject`, which
    /// confirms that this one is the lender; `None` if there are no others.
    pub fn next_in_rank(&self, subject: &str) -> Option<&InstanceName> {
        let others = self.responding.iter().filter(|name| **name != self.own);
        others.min_by_key(|name| rank(subject, name))
    }

    /// Part of an interval by which the first permit for the server `subject` is
    /// delayed, from 0 to 1. Many instances that are separated from each other have a
    /// lender each, and their first permits together would exceed the bound if each
    /// started at once. A lender of all instances delays nothing.
    pub fn start_offset(&self, subject: &str, share: f64) -> f64 {
        if share >= 1.0 {
            return 0.0;
        }
        let hash = stable_hash(&[b"start", subject.as_bytes(), self.own.as_str().as_bytes()]);
        hash as f64 / u64::MAX as f64
    }

    /// When the view is complete, as far as is known.
    fn settled_at(&self) -> Option<Instant> {
        let last_change = self.appeared_at.max(self.read_at);
        last_change
            .filter(|_at| self.read_at.is_some())
            .map(|at| at + SETTLING_TIME)
    }

    /// Lowest share within [`SHARE_MEMORY`].
    fn lowest_share(&self) -> f64 {
        let shares = self.shares.iter().map(|(_at, share)| *share);
        shares.fold(1.0, f64::min)
    }
}

/// Rank of the instance `name` for the server `subject`; the lowest is first.
fn rank<'a>(subject: &str, name: &'a InstanceName) -> (u64, &'a InstanceName) {
    let hash = stable_hash(&[subject.as_bytes(), name.as_str().as_bytes()]);
    (hash, name)
}
