//! Chooses the server with the shortest predicted time to a prompt's first token, or to
//! the response to a request without a prompt.
//!
//! The prediction adds up the prefill queued at the server (prompts that this
//! process sent and that have no output token yet, with an allowance for the other
//! instances), the parts of the prompt that the server does not hold, and the cost
//! of the requests in progress there. A server is assumed to hold the parts that
//! were recently sent to it. For parts that this process has not sent, every
//! instance computes the same preferred server, so that the requests of a session
//! meet on one server without communication between the instances.
//!
//! For requests without a prompt it adds up the work that the server has left: this
//! process's requests by their predicted remaining work, and those that the other
//! instances are expected to have there by the mean. The times come from
//! [`crate::cost`], and each server's are multiplied by its slowdown.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use hibiscus_types::hash::stable_hash;

use crate::cost::PRIOR_RUNNING_REQUEST_MS;
use crate::cost::SLOTS_PER_STEP;
use crate::cost::service::CostRates;

/// Weight of prefilling shared parts again: besides its time it takes memory
/// from the parts of other sessions, and users put a price on it.
const RECOMPUTE_WEIGHT: f64 = 3.0;
/// Cost of a new connection, in milliseconds: a round trip, and the work of the
/// server for each connection.
const NEW_CONNECTION_MS: f64 = 4.0;
/// Maximum cost that the jitter adds, in milliseconds.
const MAX_JITTER_MS: f64 = 2.0;
/// Probability that the preferred server holds a part that this process has not
/// sent there.
const PREFERRED_HIT_PROBABILITY: f64 = 0.8;
/// Time after which a part that was sent is assumed to be evicted.
const PART_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of parts remembered per server.
const PART_LIMIT: usize = 1_024;

/// A part of a prompt: its id and its number of tokens.
pub type PartTokens = (u64, u64);

/// Estimated prompt cache and prefill queue of one server.
#[derive(Clone, Debug, Default)]
pub struct PrefillTracker {
    parts: BTreeMap<u64, Duration>,
    sent_order: VecDeque<(Duration, u64)>,
    pending_tokens: u64,
}

impl PrefillTracker {
    /// Tokens to prefill of the prompts that have no output token yet.
    pub fn pending_tokens(&self) -> u64 {
        self.pending_tokens
    }

    /// Counts a prompt sent at `now` for which the server has to prefill
    /// `prefill_tokens`.
    pub fn note_sent(&mut self, parts: &[PartTokens], prefill_tokens: u64, now: Duration) {
        self.pending_tokens = self.pending_tokens.saturating_add(prefill_tokens);
        for (id, _tokens) in parts {
            self.parts.insert(*id, now);
            self.sent_order.push_back((now, *id));
        }
        self.drop_expired(now);
    }

    /// Removes a prompt from the prefill queue when its first token arrives or
    /// it ends without one.
    pub fn note_prefill_done(&mut self, prefill_tokens: u64) {
        self.pending_tokens = self.pending_tokens.saturating_sub(prefill_tokens);
    }

    /// Expected number of tokens of `parts` that the server has to prefill.
    pub fn uncached_tokens(&self, parts: &[PartTokens], preferred: bool, now: Duration) -> f64 {
        let mut uncached_tokens = 0.0;
        let mut probability = 1.0;
        for (id, tokens) in parts {
            let sent = self.parts.get(id);
            let held = sent.is_some_and(|sent| now.saturating_sub(*sent) < PART_LIFETIME);
            if !held {
                probability = if preferred && probability > 0.0 {
                    PREFERRED_HIT_PROBABILITY
                } else {
                    0.0
                };
            }
            uncached_tokens += (1.0 - probability) * *tokens as f64;
        }
        uncached_tokens
    }

    /// Whether this process sent all `parts` to the server recently.
    pub fn holds_all(&self, parts: &[PartTokens], now: Duration) -> bool {
        let mut ids = parts.iter().map(|(id, _tokens)| id);
        ids.all(|id| {
            let sent = self.parts.get(id);
            sent.is_some_and(|sent| now.saturating_sub(*sent) < PART_LIFETIME)
        })
    }

    fn drop_expired(&mut self, now: Duration) {
        while let Some((sent, id)) = self.sent_order.front() {
            let old = now.saturating_sub(*sent) > PART_LIFETIME;
            if !old && self.sent_order.len() <= PART_LIMIT {
                break;
            }
            if self.parts.get(id) == Some(sent) {
                self.parts.remove(id);
            }
            self.sent_order.pop_front();
        }
    }
}

/// A server that a prompt may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate<'a> {
    /// Name of the server, which ranks it as preferred server.
    pub name: &'a str,
    /// Estimated prompt cache and prefill queue of the server.
    pub prefill: &'a PrefillTracker,
    /// Multiple of the service's learned times that the server is expected to take.
    pub slowdown: f64,
    /// Requests of this process in progress.
    pub own: u32,
    /// Predicted remaining work of this process's requests in progress, in
    /// milliseconds.
    pub own_work_ms: f64,
    /// Requests of all instances expected to be in progress.
    pub expected: f64,
    /// Requests expected to wait, by the last report and its age.
    pub waiting: f64,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server is in another data centre than this instance.
    pub remote: bool,
    /// Whether there is an open idle connection to the server.
    pub connected: bool,
    /// Value from 0 to 1 that differs between instances, so that instances with
    /// equally little information about the load do not all choose the same server.
    pub jitter: f64,
}

/// Jitter that the instance `own` adds to the cost of `server`, from 0 to 1.
pub fn jitter_of(own: &str, server: &str) -> f64 {
    let hash = stable_hash(&[own.as_bytes(), server.as_bytes()]);
    hash as f64 / u64::MAX as f64
}

/// The prompt to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt that other requests may share.
    pub shared: &'a [PartTokens],
    /// Tokens of the prompt that no other request shares.
    pub own_tokens: u64,
    /// Time of the steady clock.
    pub now: Duration,
    /// Kind of the request: a hash of its route.
    pub kind: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
}

impl PlacementRequest<'_> {
    /// Whether the request has a prompt of known length.
    pub fn has_prompt(&self) -> bool {
        self.own_tokens > 0 || !self.shared.is_empty()
    }

    /// Tokens that the request takes of an engine's memory at most.
    pub fn memory_tokens(&self) -> u64 {
        let shared = self.shared.iter().map(|(_id, tokens)| *tokens);
        let tokens = shared.chain([self.own_tokens, self.output_tokens]);
        tokens.fold(0, u64::saturating_add)
    }
}

/// Where a request goes and how long it is predicted to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Index of the server.
    pub index: usize,
    /// Prompt tokens that the server has to prefill.
    pub prefill_tokens: f64,
    /// Predicted milliseconds to the first event, or to the whole response of a request
    /// without a prompt.
    pub first_ms: f64,
    /// Part of `first_ms` for which the request waits for others.
    pub wait_ms: f64,
    /// `first_ms` of the server that is predicted to begin the response first.
    pub soonest_ms: f64,
    /// `wait_ms` of that server.
    pub soonest_wait_ms: f64,
}

impl Placement {
    /// Places a request with `uncached_tokens` shared tokens to prefill at `server`.
    pub fn at(
        server: &PlacementCandidate<'_>,
        uncached_tokens: f64,
        request: &PlacementRequest<'_>,
        rates: &CostRates,
    ) -> Self {
        let prefill_tokens = uncached_tokens + request.own_tokens as f64;
        let (wait_ms, run_ms) = if request.has_prompt() {
            prompt_ms(server, prefill_tokens, rates)
        } else {
            work_ms(server, rates)
        };
        Self {
            index: 0,
            prefill_tokens,
            first_ms: wait_ms + run_ms,
            wait_ms,
            soonest_ms: wait_ms + run_ms,
            soonest_wait_ms: wait_ms,
        }
    }
}

/// Returns the index of the server with the lowest cost by the constants that hold
/// before anything is learned, and the tokens that it has to prefill; `None` if there
/// are no servers.
pub fn choose(
    servers: &[PlacementCandidate<'_>],
    request: &PlacementRequest<'_>,
) -> Option<(usize, u64)> {
    let rates = CostRates::prior(Instant::now());
    let placement = choose_by_cost(servers, request, &rates)?;
    Some((placement.index, placement.prefill_tokens as u64))
}

/// Returns the placement with the lowest cost at the learned `rates`; `None` if there
/// are no servers.
pub fn choose_by_cost(
    servers: &[PlacementCandidate<'_>],
    request: &PlacementRequest<'_>,
    rates: &CostRates,
) -> Option<Placement> {
    let preferred = preferred_server(servers, request);
    let mut best: Option<(f64, Placement)> = None;
    let (mut soonest_ms, mut soonest_wait_ms) = (f64::INFINITY, 0.0);
    for (index, server) in servers.iter().enumerate() {
        let uncached_tokens =
            server
                .prefill
                .uncached_tokens(request.shared, preferred == Some(index), request.now);
        let recompute_cost = uncached_tokens * (RECOMPUTE_WEIGHT - 1.0) * rates.prefill.slope;
        let placement = Placement {
            index,
            ..Placement::at(server, uncached_tokens, request, rates)
        };
        if placement.first_ms < soonest_ms {
            (soonest_ms, soonest_wait_ms) = (placement.first_ms, placement.wait_ms);
        }
        let spreading = if request.has_prompt() {
            0.0
        } else {
            spreading_ms(server, rates, placement.wait_ms)
        };
        let cost = placement.first_ms + spreading + recompute_cost + access_ms(server);
        if best.is_none_or(|(least, _placement)| cost < least) {
            best = Some((cost, placement));
        }
    }
    best.map(|(_cost, placement)| Placement {
        soonest_ms,
        soonest_wait_ms,
        ..placement
    })
}

/// Predicted milliseconds for which a prompt waits for other requests, and in which its
/// `prefill_tokens` are prefilled.
fn prompt_ms(
    server: &PlacementCandidate<'_>,
    prefill_tokens: f64,
    rates: &CostRates,
) -> (f64, f64) {
    let slots = f64::from(server.slots.max(1));
    let queue = server.prefill.pending_tokens() as f64 * rates.prefill.slope;
    let running = server.expected * rates.running_ms * (SLOTS_PER_STEP / slots).min(1.0);
    let wait = queue + running + waiting(server) * rates.waiting_ms(slots);
    let run = rates.prefill.at(prefill_tokens);
    (wait * server.slowdown, run * server.slowdown)
}

/// Predicted milliseconds for which a request without a prompt waits for other
/// requests, and in which it runs.
fn work_ms(server: &PlacementCandidate<'_>, rates: &CostRates) -> (f64, f64) {
    let slots = f64::from(server.slots.max(1));
    let others = (server.expected - f64::from(server.own)).max(0.0);
    let work = server.own_work_ms + others * rates.mean_ms;
    let wait = CostRates::shared_ms(work, slots) + waiting(server) * rates.waiting_ms(slots);
    (wait * server.slowdown, rates.kind_ms * server.slowdown)
}

/// Cost of a request without a prompt at a server with other requests, in addition to
/// its wait. Short requests are spread by counts, as before anything is learned: on a busy
/// machine their predicted work is over before they are, and a server without open
/// connections, such as one of a data centre whose evacuation has ended, got none.
fn spreading_ms(server: &PlacementCandidate<'_>, rates: &CostRates, wait_ms: f64) -> f64 {
    let factor = rates.spreading_factor();
    if factor <= 1.0 {
        return 0.0;
    }
    let slots = f64::from(server.slots.max(1));
    let counted = server.expected * PRIOR_RUNNING_REQUEST_MS * (SLOTS_PER_STEP / slots).min(1.0);
    (wait_ms * factor).max(counted * server.slowdown) - wait_ms
}

/// Requests expected to wait for a slot.
fn waiting(server: &PlacementCandidate<'_>) -> f64 {
    let slots = f64::from(server.slots.max(1));
    let overflow = (server.expected + 1.0 - slots).max(0.0);
    server.waiting + overflow
}

/// Cost of reaching the server, in milliseconds, and the jitter.
fn access_ms(server: &PlacementCandidate<'_>) -> f64 {
    // Traffic between data centres costs bytes and a little time.
    let remote = if server.remote { 1.0 } else { 0.0 };
    let connect = if server.connected {
        0.0
    } else {
        NEW_CONNECTION_MS
    };
    remote + connect + server.jitter * MAX_JITTER_MS
}

/// Index of the server that all instances prefer for the last shared part.
fn preferred_server(
    servers: &[PlacementCandidate<'_>],
    request: &PlacementRequest<'_>,
) -> Option<usize> {
    let (part, _tokens) = request.shared.last()?;
    let part = part.to_be_bytes();
    let ranked = servers.iter().enumerate();
    let preferred =
        ranked.max_by_key(|(_index, server)| stable_hash(&[&part, server.name.as_bytes()]));
    preferred.map(|(index, _server)| index)
}
