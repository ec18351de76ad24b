//! Servers in virtual time, for the routing experiment.
//!
//! A server runs a bounded number of requests at once and queues the rest; a
//! request computes its prompt, faster when its prefix is cached, and then
//! generates its tokens. Only what the decisions see is modelled.

use std::collections::VecDeque;

use hibiscus_routing::affinity::CacheChange;
use hibiscus_routing::affinity::CacheEvent;

/// Requests that a server runs at once.
pub const SLOTS: usize = 8;
/// Prefixes that a server's cache holds.
const CACHE_SIZE: usize = 40;
/// Milliseconds to compute a prompt that is not cached.
const PREFILL_MISS_MS: f64 = 240.0;
/// Milliseconds to compute a prompt whose prefix is cached.
const PREFILL_HIT_MS: f64 = 40.0;
/// Milliseconds for a token on a server of usual speed.
pub const TOKEN_MS: f64 = 15.0;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest {
    /// Its number.
    pub id: usize,
    /// Its prefix.
    pub prefix: u64,
    /// Tokens to generate.
    pub tokens: u32,
}

/// A request that a server has begun.
#[derive(Clone, Copy, Debug)]
pub struct StartedRequest {
    /// The request.
    pub request: ModelRequest,
    /// Milliseconds until its first token.
    pub first_token_ms: f64,
    /// Milliseconds until its end.
    pub end_ms: f64,
    /// Whether its prefix was cached.
    pub hit: bool,
}

/// One server.
#[derive(Clone, Debug)]
pub struct ModelServer {
    /// Factor of all its times.
    pub slowness: f64,
    /// Whether it fails every request.
    pub failing: bool,
    /// Whether the list shows it as leaving.
    pub listed_leaving: bool,
    /// Whether it has gone.
    pub gone: bool,
    running: usize,
    queue: VecDeque<ModelRequest>,
    cache: VecDeque<u64>,
    next_event: u64,
    events: Vec<CacheEvent>,
}

impl ModelServer {
    /// An idle server whose times are `slowness` times the usual.
    pub fn new(slowness: f64) -> Self {
        Self {
            slowness,
            failing: false,
            listed_leaving: false,
            gone: false,
            running: 0,
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            next_event: 0,
            events: Vec::new(),
        }
    }

    /// Requests running and waiting.
    pub fn load(&self) -> u32 {
        u32::try_from(self.running + self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Takes a request; what starts at once.
    pub fn take(&mut self, request: ModelRequest) -> Option<StartedRequest> {
        self.queue.push_back(request);
        self.start_next()
    }

    /// Ends a running request; what starts in its place.
    pub fn end_one(&mut self) -> Option<StartedRequest> {
        self.running -= 1;
        self.start_next()
    }

    /// A new server, with an empty cache, takes the place of this one.
    pub fn replace(&mut self) {
        self.listed_leaving = false;
        self.gone = false;
        while let Some(evicted) = self.cache.pop_front() {
            self.publish(evicted, CacheChange::Evicted);
        }
    }

    /// Takes the cache events that were not taken yet.
    pub fn drain_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn start_next(&mut self) -> Option<StartedRequest> {
        if self.running >= SLOTS {
            return None;
        }
        let request = self.queue.pop_front()?;
        self.running += 1;
        let hit = self.touch(request.prefix);
        let prefill = if hit { PREFILL_HIT_MS } else { PREFILL_MISS_MS };
        let first_token_ms = (prefill + TOKEN_MS) * self.slowness;
        let rest = f64::from(request.tokens.saturating_sub(1)) * TOKEN_MS * self.slowness;
        Some(StartedRequest {
            request,
            first_token_ms,
            end_ms: first_token_ms + rest,
            hit,
        })
    }

    /// Uses a prefix of the cache; whether it was there.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|held| *held == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
            self.cache.push_back(prefix);
            return true;
        }
        self.publish(prefix, CacheChange::Stored);
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_SIZE
            && let Some(evicted) = self.cache.pop_front()
        {
            self.publish(evicted, CacheChange::Evicted);
        }
        false
    }

    fn publish(&mut self, prefix: u64, change: CacheChange) {
        self.events.push(CacheEvent {
            sequence: self.next_event,
            prefix,
            change,
        });
        self.next_event += 1;
    }
}
