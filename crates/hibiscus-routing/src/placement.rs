//! Where a prompt goes, by the predicted time to its first token.
//!
//! A server's prediction is the prefill that waits there (what this process
//! sent and saw no token of yet, and a share for the other instances), plus
//! the parts of the prompt that it does not hold, plus what the requests in
//! progress cost. Which parts a server holds is believed from what was sent
//! there; for parts that nobody here has sent, every instance assumes the
//! same home, so that a session's requests meet on one server without a word
//! between the instances.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use hibiscus_types::hash::stable_hash;

/// Prompt tokens that an engine reads in a millisecond, before any was
/// measured; the sheets of the deployments say 38.4 and 39.3.
const PREFILL_PER_MS: f64 = 38.0;
/// Weight of reading shared parts again beyond its time: it takes memory from
/// other sessions' parts, and the users price it.
const AGAIN_WEIGHT: f64 = 3.0;
/// What one more request in progress costs, in milliseconds to the first
/// token: about one step of the batch.
const REQUEST_MS: f64 = 6.0;
/// What a request that waits for a place costs, in milliseconds.
const WAITING_MS: f64 = 30.0;
/// What a new connection costs, in milliseconds: a round trip and the server's
/// own work, which it does for each of them.
const CONNECT_MS: f64 = 4.0;
/// Most that an instance's own order of the servers costs, in milliseconds.
const ORDER_MS: f64 = 2.0;
/// Share of a home's parts that is believed to be held before this process
/// sent any there.
const HOME_BELIEF: f64 = 0.8;
/// Time after which a part that was sent is no longer believed to be held.
const PART_LIFETIME: Duration = Duration::from_secs(30);
/// Parts remembered of one server.
const PART_LIMIT: usize = 1_024;

/// A part of a prompt: its number and its tokens.
pub type PartTokens = (u64, u64);

/// What is believed of one server's prompt cache and prefill queue.
#[derive(Clone, Debug, Default)]
pub struct PrefillTracker {
    parts: BTreeMap<u64, Duration>,
    order: VecDeque<(Duration, u64)>,
    prefill_tokens: u64,
}

impl PrefillTracker {
    /// Prompt tokens sent whose first output token has not been seen.
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    /// Counts a prompt sent at `now` of which the server reads `prefill_tokens` tokens.
    pub fn note_sent(&mut self, parts: &[PartTokens], prefill_tokens: u64, now: Duration) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(prefill_tokens);
        for (id, _tokens) in parts {
            self.parts.insert(*id, now);
            self.order.push_back((now, *id));
        }
        self.forget_old(now);
    }

    /// The first token of a prompt came, or the prompt ended without one.
    pub fn note_prefill_done(&mut self, prefill_tokens: u64) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Tokens of `parts` that the server has to read.
    pub fn missing(&self, parts: &[PartTokens], home: bool, now: Duration) -> f64 {
        let mut missing = 0.0;
        let mut belief = 1.0;
        for (id, tokens) in parts {
            let sent = self.parts.get(id);
            let held = sent.is_some_and(|sent| now.saturating_sub(*sent) < PART_LIFETIME);
            if !held {
                belief = if home && belief > 0.0 {
                    HOME_BELIEF
                } else {
                    0.0
                };
            }
            missing += (1.0 - belief) * *tokens as f64;
        }
        missing
    }

    fn forget_old(&mut self, now: Duration) {
        while let Some((sent, id)) = self.order.front() {
            let old = now.saturating_sub(*sent) > PART_LIFETIME;
            if !old && self.order.len() <= PART_LIMIT {
                break;
            }
            if self.parts.get(id) == Some(sent) {
                self.parts.remove(id);
            }
            self.order.pop_front();
        }
    }
}

/// One server as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate<'a> {
    /// Its name, for the homes.
    pub name: &'a str,
    /// What is believed of its cache.
    pub prefill: &'a PrefillTracker,
    /// Requests expected in progress, from all instances.
    pub expected: f64,
    /// Requests that waited by its last report.
    pub waiting: u32,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it is in another data centre than this instance.
    pub remote: bool,
    /// Whether a kept connection is there.
    pub connected: bool,
    /// Its place in this instance's own order of the servers, from 0 to 1:
    /// instances that know as little of the load must not choose alike.
    pub jitter: f64,
}

/// The place of `server` in the order of the instance `own`.
pub fn jitter_of(own: &str, server: &str) -> f64 {
    let drawn = stable_hash(&[own.as_bytes(), server.as_bytes()]);
    drawn as f64 / u64::MAX as f64
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The prompt's parts that other requests may share.
    pub shared: &'a [PartTokens],
    /// The prompt's own tokens.
    pub own_tokens: u64,
    /// Time of the steady clock.
    pub now: Duration,
}

/// The server with the lowest predicted time, with the tokens that it has to
/// read; `None` without servers.
pub fn choose(
    servers: &[PlacementCandidate<'_>],
    case: &PlacementRequest<'_>,
) -> Option<(usize, u64)> {
    let home = home_of(servers, case);
    let mut best: Option<(usize, f64, f64)> = None;
    for (index, server) in servers.iter().enumerate() {
        let missing = server
            .prefill
            .missing(case.shared, home == Some(index), case.now);
        let prefill_tokens = missing + case.own_tokens as f64;
        let again = missing * (AGAIN_WEIGHT - 1.0) / PREFILL_PER_MS;
        let cost = predicted_ms(server, prefill_tokens) + again;
        if best.is_none_or(|(_index, least, _unread)| cost < least) {
            best = Some((index, cost, prefill_tokens));
        }
    }
    best.map(|(index, _cost, prefill_tokens)| (index, prefill_tokens as u64))
}

/// Milliseconds until the first token of a prompt with `prefill_tokens` tokens.
fn predicted_ms(server: &PlacementCandidate<'_>, prefill_tokens: f64) -> f64 {
    let queue = server.prefill.prefill_tokens() as f64 / PREFILL_PER_MS;
    let places = f64::from(server.slots.max(1));
    let beyond = (server.expected + 1.0 - places).max(0.0);
    let waiting = f64::from(server.waiting) + beyond;
    // Remote servers cost bytes between data centres and a little time.
    let remote = if server.remote { 1.0 } else { 0.0 };
    let connect = if server.connected { 0.0 } else { CONNECT_MS };
    queue
        + prefill_tokens / PREFILL_PER_MS
        + server.expected * REQUEST_MS * (8.0 / places).min(1.0)
        + waiting * WAITING_MS
        + remote
        + connect
        + server.jitter * ORDER_MS
}

/// The server that all instances take for the home of the last shared part.
fn home_of(servers: &[PlacementCandidate<'_>], case: &PlacementRequest<'_>) -> Option<usize> {
    let (part, _tokens) = case.shared.last()?;
    let part = part.to_be_bytes();
    let ranked = servers.iter().enumerate();
    let home = ranked.max_by_key(|(_index, server)| stable_hash(&[&part, server.name.as_bytes()]));
    home.map(|(index, _server)| index)
}
