//! Permits for requests to a server that names a limit.
//!
//! The limit holds for the sum over all instances, so instances don't divide it:
//! a few of them, the lenders, schedule the requests of all. A [`PermitSchedule`]
//! grants permits whose start times are at least one interval of the limit apart.
//! Unused time is not saved up, so a schedule never allows a burst. An instance
//! keeps its permits in a [`PermitStock`] and requests more when a request could
//! use one.
//!
//! Permits start up to [`MAX_AHEAD`] after they were granted and lapse
//! after their lifetime. When several instances want permits, each
//! is told when to request again so that they take turns.
//!
//! [`lenders`] divides the instances of a large fleet into groups with one lender
//! each. The time is an argument.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::request_limit::RequestRate;

/// Longest time from the grant of a permit to its start.
pub const MAX_AHEAD: Duration = Duration::from_millis(500);
/// Shortest time after its start in which a permit may be used.
pub const MIN_PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Longest time after its start in which a permit may be used. It is the interval
/// of the permits if that is between the two, so that few permits lapse.
pub const MAX_PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Lowest rate at which requests are sent: only a response can tell that a limit
/// of zero has ended.
pub const TRIAL_RATE: f64 = 0.1;
/// Largest number of instances that get permits from one lender.
pub const GROUP_SIZE: usize = 16;

/// Longest time between two permits of one schedule.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 3_600);
/// Largest number of permits in one grant.
const BATCH_LIMIT: u16 = 32;
/// Longest time after which an instance is told to request permits again.
const MAX_REQUEST_DELAY: Duration = Duration::from_secs(2);
/// Shortest time after which an instance is told to request permits again.
const MIN_REQUEST_DELAY: Duration = Duration::from_millis(5);
/// Time between permit requests to a schedule when many instances are waiting.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which an instance that was told to request again and doesn't is
/// forgotten.
const ABSENCE_LIMIT: Duration = Duration::from_millis(250);
/// Delay before the next permit request when the lender did not respond.
const UNANSWERED_DELAY: Duration = Duration::from_millis(200);
/// Delay before the next permit request of an instance that gets no permits.
const EXCLUDED_DELAY: Duration = Duration::from_secs(5);

/// Response to a permit request. Times are relative to the moment of the grant,
/// so a late response only delays the permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Number of permits.
    pub count: u16,
    /// Time until the first permit starts.
    pub first_start: Duration,
    /// Time between the starts of two permits.
    pub interval: Duration,
    /// Time until the instance may request permits again.
    pub next_request: Duration,
}

/// An instance that was refused and told when to request permits again.
#[derive(Clone, Copy, Debug)]
struct WaitingInstance {
    /// Place in the order of the refusals.
    turn: u64,
    /// When the instance is forgotten unless it requests permits again.
    forgotten_at: Instant,
}

/// Schedule of the requests to one server.
#[derive(Clone, Debug)]
pub struct PermitSchedule {
    /// Permits of an earlier lender may start until this time.
    begin: Instant,
    /// Start of the last permit.
    last_start: Option<Instant>,
    /// Start that [`Self::spread_start`] chose last.
    spread_start: Option<Instant>,
    waiting: BTreeMap<InstanceName, WaitingInstance>,
    next_turn: u64,
    last_request: Instant,
}

impl PermitSchedule {
    /// Creates a schedule at `now` that takes over from another lender.
    pub fn new(now: Instant) -> Self {
        Self::starting_at(now + MAX_AHEAD, now)
    }

    /// Creates a schedule at `now` whose first permit starts at `begin`.
    pub fn starting_at(begin: Instant, now: Instant) -> Self {
        Self {
            begin,
            last_start: None,
            spread_start: None,
            waiting: BTreeMap::new(),
            next_turn: 0,
            last_request: now,
        }
    }

    /// Lets no permit start before `begin`.
    pub fn delay_until(&mut self, begin: Instant) {
        self.begin = self.begin.max(begin);
    }

    /// Lets the next permit at `rate` start `offset` intervals after `now`, unless one
    /// started or was to start in the last interval.
    pub fn spread_start(&mut self, rate: f64, offset: f64, now: Instant) {
        let interval = interval_of(rate);
        let newest = self.last_start.max(self.spread_start);
        if newest.is_some_and(|newest| newest + interval >= now) {
            return;
        }
        let start = now + interval.mul_f64(offset);
        self.spread_start = Some(start);
        self.delay_until(start);
    }

    /// Whether no instance has requested permits since `before`.
    pub fn is_unused_since(&self, before: Instant) -> bool {
        self.last_request < before
    }

    /// Grants up to `wanted` permits to `instance` when requests may be sent at
    /// `rate`.
    pub fn grant(
        &mut self,
        instance: &InstanceName,
        rate: f64,
        wanted: u16,
        now: Instant,
    ) -> PermitGrant {
        self.last_request = now;
        self.waiting
            .retain(|_name, waiting| waiting.forgotten_at > now);
        let interval = interval_of(rate);
        let next = self.last_start.map(|last| last + interval);
        let first = next.unwrap_or(self.begin).max(self.begin).max(now);
        let ahead = first.saturating_duration_since(now);
        if ahead > MAX_AHEAD {
            return self.refuse(instance, ahead - MAX_AHEAD, interval, now);
        }
        self.waiting.remove(instance);
        let others = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let count = self.available(MAX_AHEAD - ahead, interval, others);
        let count = count.min(wanted).clamp(1, BATCH_LIMIT);
        let last = first + interval * u32::from(count - 1);
        self.last_start = Some(last);
        let next_request = if others == 0 {
            Duration::ZERO
        } else {
            // The others come first.
            let turn = (last - now).saturating_add(interval.saturating_mul(others + 1));
            turn.saturating_sub(MAX_AHEAD)
        };
        PermitGrant {
            count,
            first_start: ahead,
            interval,
            next_request: next_request.min(max_request_delay(others)),
        }
    }

    /// Number of permits that start within `time`, shared with `others` waiting
    /// instances.
    fn available(&self, time: Duration, interval: Duration, others: u32) -> u16 {
        if interval.is_zero() {
            return BATCH_LIMIT;
        }
        let starts = time.as_nanos() / interval.as_nanos() + 1;
        let share = starts.div_ceil(u128::from(others) + 1);
        u16::try_from(share).unwrap_or(u16::MAX)
    }

    /// Tells `instance` to request permits again when its turn comes; the next turn is in
    /// `delay`.
    fn refuse(
        &mut self,
        instance: &InstanceName,
        delay: Duration,
        interval: Duration,
        now: Instant,
    ) -> PermitGrant {
        let known = self.waiting.get(instance).map(|waiting| waiting.turn);
        let turn = known.unwrap_or(self.next_turn);
        if known.is_none() {
            self.next_turn += 1;
        }
        let before = self.waiting.values();
        let before = before.filter(|waiting| waiting.turn < turn).count();
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        let others = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let next_request = delay
            .saturating_add(interval.saturating_mul(before))
            .clamp(MIN_REQUEST_DELAY, max_request_delay(others));
        let waiting = WaitingInstance {
            turn,
            forgotten_at: now + next_request + ABSENCE_LIMIT,
        };
        self.waiting.insert(instance.clone(), waiting);
        PermitGrant {
            interval,
            next_request,
            ..PermitGrant::default()
        }
    }
}

/// Time between two requests at `rate` requests per second.
fn interval_of(rate: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(rate.recip());
    interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
}

/// Longest time after which an instance is told to request permits again while `others` are
/// waiting.
fn max_request_delay(others: u32) -> Duration {
    MAX_REQUEST_DELAY.max(REQUEST_INTERVAL.saturating_mul(others))
}

/// A permit for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    start: Instant,
    expires: Instant,
}

impl SendPermit {
    /// Time from `now` until a request with the permit may be sent.
    pub fn delay(self, now: Instant) -> Duration {
        self.start.saturating_duration_since(now)
    }

    /// Whether a request may use the permit at `now`.
    fn is_usable(self, now: Instant) -> bool {
        self.start <= now && self.is_valid(now)
    }

    /// Whether the request may still be sent.
    pub fn is_valid(self, now: Instant) -> bool {
        now <= self.expires
    }
}

/// Permits of one instance for one server.
#[derive(Clone, Debug, Default)]
pub struct PermitStock {
    /// The permits, in the order of their starts.
    permits: VecDeque<SendPermit>,
    /// When the instance may request permits again; `None` if at once.
    next_request: Option<Instant>,
    /// Whether a permit request is in progress.
    requesting: bool,
    /// Requests that could have used a permit since the last permit request.
    wanted: u16,
}

impl PermitStock {
    /// Whether a permit may be used at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        self.permits.iter().any(|permit| permit.is_usable(now))
    }

    /// Takes a permit for a request that is sent at `now`.
    pub fn take(&mut self, now: Instant) -> Option<SendPermit> {
        self.reserve(Duration::ZERO, now)
    }

    /// Takes a permit for a request that may wait up to `wait` from `now` on.
    pub fn reserve(&mut self, wait: Duration, now: Instant) -> Option<SendPermit> {
        let delay = self.next_delay(now)?;
        if delay > wait {
            return None;
        }
        self.drop_expired(now);
        self.permits.pop_front()
    }

    /// Time from `now` until the next permit may be used; `None` if there is none.
    pub fn next_delay(&self, now: Instant) -> Option<Duration> {
        let mut permits = self.permits.iter();
        let next = permits.find(|permit| permit.is_valid(now))?;
        Some(next.delay(now))
    }

    /// Whether a permit request is in progress or may be made at `now`.
    pub fn may_come(&self, now: Instant) -> bool {
        self.requesting || self.may_request(now)
    }

    /// Whether a permit request is in progress.
    pub fn is_requesting(&self) -> bool {
        self.requesting
    }

    /// When a permit may be available next, as far as is known.
    pub fn next_chance(&self, now: Instant) -> Instant {
        let starts = self.permits.iter().map(|permit| permit.start);
        let next_start = starts.filter(|start| *start > now).min();
        let next_request = self.next_request.unwrap_or(now).max(now);
        next_start.map_or(next_request, |start| start.min(next_request))
    }

    /// Counts a request that could use a permit.
    pub fn note_wanted(&mut self) {
        self.wanted = self.wanted.saturating_add(1);
    }

    /// Begins a permit request; returns the number of permits, or `None` if none
    /// is due.
    pub fn begin_request(&mut self, now: Instant) -> Option<u16> {
        self.drop_expired(now);
        if self.requesting || !self.may_request(now) {
            return None;
        }
        self.requesting = true;
        let wanted = std::mem::take(&mut self.wanted);
        Some(wanted.clamp(1, BATCH_LIMIT))
    }

    /// Ends a permit request with the lender's response at `now`; `None` if there was none.
    pub fn end_request(&mut self, grant: Option<&PermitGrant>, now: Instant) {
        self.requesting = false;
        let Some(grant) = grant else {
            self.next_request = Some(now + UNANSWERED_DELAY);
            return;
        };
        let lifetime = grant
            .interval
            .clamp(MIN_PERMIT_LIFETIME, MAX_PERMIT_LIFETIME);
        for number in 0..u32::from(grant.count) {
            let start = now + grant.first_start + grant.interval.saturating_mul(number);
            self.permits.push_back(SendPermit {
                start,
                expires: start + lifetime,
            });
        }
        self.next_request = now.checked_add(grant.next_request);
    }

    /// Ends the permit request of an instance that gets no permits for the server.
    pub fn end_without_lender(&mut self, now: Instant) {
        self.requesting = false;
        self.next_request = Some(now + EXCLUDED_DELAY);
    }

    /// Adapts to a change of the limit: permits under a much higher limit are
    /// dropped, and under a higher limit the instance requests permits again at once.
    pub fn note_limit(&mut self, before: Option<RequestRate>, limit: Option<RequestRate>) {
        let before = before.map_or(f64::INFINITY, RequestRate::per_second);
        let limit = limit.map_or(f64::INFINITY, RequestRate::per_second);
        if limit < before / 2.0 {
            self.permits.clear();
        }
        if limit > before {
            self.next_request = None;
        }
    }

    fn may_request(&self, now: Instant) -> bool {
        let has_permits = self.permits.iter().any(|permit| permit.is_valid(now));
        !has_permits
            && self
                .next_request
                .is_none_or(|next_request| now >= next_request)
    }

    fn drop_expired(&mut self, now: Instant) {
        self.permits.retain(|permit| permit.is_valid(now));
    }
}

/// Part of an instance in the permits for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitRole<'a> {
    /// The instance grants permits to its group, itself included.
    Lender,
    /// The instance requests permits from this one.
    Borrower(&'a InstanceName),
    /// The limit is too low for so many instances: this one gets no permits.
    Excluded,
}

/// Lenders of the permits for one server.
#[derive(Clone, Debug)]
pub struct PermitLenders<'a> {
    /// The instances that may get permits; the lenders come first.
    members: Vec<&'a InstanceName>,
    lenders: usize,
}

/// Selects the lenders for the server `subject` among `instances`, by rendezvous
/// hashing. Each lender serves up to [`GROUP_SIZE`] instances, and there are no more
/// lenders than requests per second, so that the first permits of all lenders
/// together stay within the limit of about a second.
pub fn lenders<'a>(
    subject: &str,
    limit: RequestRate,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> PermitLenders<'a> {
    let mut members: Vec<_> = instances.collect();
    members.sort_by_cached_key(|name| stable_hash(&[subject.as_bytes(), name.as_str().as_bytes()]));
    let groups = members.len().div_ceil(GROUP_SIZE);
    let lenders = (limit.per_second() as usize).min(groups).max(1);
    members.truncate(lenders.saturating_mul(GROUP_SIZE));
    PermitLenders { members, lenders }
}

impl<'a> PermitLenders<'a> {
    /// Number of lenders.
    pub fn count(&self) -> usize {
        self.lenders
    }

    /// The lender for `own`, which is not among the instances: it is leaving
    /// and still has requests.
    pub fn any_lender(&self, own: &InstanceName) -> PermitRole<'a> {
        let lenders = &self.members[..self.lenders.min(self.members.len())];
        let lender = lenders
            .iter()
            .max_by_key(|name| stable_hash(&[own.as_str().as_bytes(), name.as_str().as_bytes()]));
        lender.map_or(PermitRole::Excluded, |name| PermitRole::Borrower(name))
    }

    /// The part of the instance `own`.
    pub fn role_of(&self, own: &InstanceName) -> PermitRole<'a> {
        let rank = self.members.iter().position(|name| *name == own);
        match rank {
            None => PermitRole::Excluded,
            Some(rank) if rank < self.lenders => PermitRole::Lender,
            Some(rank) => PermitRole::Borrower(self.members[rank % self.lenders]),
        }
    }
}
