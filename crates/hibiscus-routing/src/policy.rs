//! Policies that choose a server.

use crate::load::ServerLoad;

/// Number of requests in progress that a cached prefix compensates for.
const CACHED_PREFIX_CREDIT: f64 = 12.0;
/// Multiplier of the linear congruential generator.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Increment of the linear congruential generator.
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;

/// Chooses a server for a request.
pub trait RoutingPolicy {
    /// Returns the index of the chosen server, or `None` when all are draining.
    /// `pick` is a number that differs from request to request.
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize>;
}

/// Chooses any server at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl RoutingPolicy for RandomChoice {
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize> {
        first_available(servers, position(next_random(pick), servers.len()))
    }
}

/// Chooses the servers in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoutingPolicy for RoundRobin {
    fn choose(&mut self, servers: &[ServerLoad], _pick: u64) -> Option<usize> {
        let chosen = first_available(servers, self.next % servers.len().max(1))?;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// Chooses the server with the least reported load; ties are broken at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl RoutingPolicy for LeastReported {
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize> {
        let start = position(next_random(pick), servers.len());
        least(servers, start, |server| f64::from(server.reported))
    }
}

/// Chooses the server with the least cost: the expected load times the relative
/// time per token, minus the credit for a cached prefix. Ties are broken at
/// random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagAware;

impl RoutingPolicy for LagAware {
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize> {
        let mean = mean_token_seconds(servers);
        let start = position(next_random(pick), servers.len());
        least(servers, start, |server| {
            let slowness = if server.token_seconds > 0.0 {
                server.token_seconds / mean
            } else {
                1.0
            };
            (server.expected + 1.0) * slowness - server.cached * CACHED_PREFIX_CREDIT
        })
    }
}

/// Mean time per token of the servers where it is known, 1 if there are none.
fn mean_token_seconds(servers: &[ServerLoad]) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for server in servers {
        if server.token_seconds > 0.0 {
            sum += server.token_seconds;
            count += 1.0;
        }
    }
    if count > 0.0 { sum / count } else { 1.0 }
}

/// Returns the first server from index `start` on that is not draining.
fn first_available(servers: &[ServerLoad], start: usize) -> Option<usize> {
    let count = servers.len();
    for step in 0..count {
        let index = (start + step) % count;
        if !servers[index].draining {
            return Some(index);
        }
    }
    None
}

/// Returns the server with the least `cost` that is not draining; of equal ones
/// the first from index `start` on.
fn least<F>(servers: &[ServerLoad], start: usize, cost: F) -> Option<usize>
where
    F: Fn(&ServerLoad) -> f64,
{
    let mut best: Option<usize> = None;
    let mut lowest = f64::INFINITY;
    for step in 0..servers.len() {
        let index = (start + step) % servers.len();
        if servers[index].draining {
            continue;
        }
        let cost = cost(&servers[index]);
        if best.is_none() || cost < lowest {
            best = Some(index);
            lowest = cost;
        }
    }
    best
}

/// Returns the number that follows `state` in the generator's sequence.
fn next_random(state: u64) -> u64 {
    state
        .wrapping_mul(LCG_MULTIPLIER)
        .wrapping_add(LCG_INCREMENT)
}

/// Returns an index below `count` from the high bits of `random`.
fn position(random: u64, count: usize) -> usize {
    let high = random >> 33;
    usize::try_from(high).unwrap_or(0) % count.max(1)
}
