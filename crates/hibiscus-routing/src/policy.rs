//! Choice of a server.

use crate::load::ServerLoad;

/// Requests in progress that a cached prefix makes up for.
const CACHE_WORTH: f64 = 12.0;
/// Factor by which the state of the random numbers grows.
const RANDOM_FACTOR: u64 = 6_364_136_223_846_793_005;
/// Number added to the state of the random numbers.
const RANDOM_STEP: u64 = 1_442_695_040_888_963_407;

/// Chooses a server for a request.
pub trait RoutingPolicy {
    /// The position of the chosen server, `None` when all are leaving.
    /// `pick` is a number that differs from request to request.
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize>;
}

/// Any server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl RoutingPolicy for RandomChoice {
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize> {
        first_staying(servers, position(next_random(pick), servers.len()))
    }
}

/// The servers in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoutingPolicy for RoundRobin {
    fn choose(&mut self, servers: &[ServerLoad], _pick: u64) -> Option<usize> {
        let chosen = first_staying(servers, self.next % servers.len().max(1))?;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// The least reported load; equal loads are taken in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl RoutingPolicy for LeastReported {
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize> {
        let start = position(next_random(pick), servers.len());
        least(servers, start, |server| f64::from(server.reported))
    }
}

/// The least cost: expected load times the server's time for a token, less
/// what a cached prefix saves. Equal costs are taken in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagAware;

impl RoutingPolicy for LagAware {
    fn choose(&mut self, servers: &[ServerLoad], pick: u64) -> Option<usize> {
        let usual = usual_token_seconds(servers);
        let start = position(next_random(pick), servers.len());
        least(servers, start, |server| {
            let slowness = if server.token_seconds > 0.0 {
                server.token_seconds / usual
            } else {
                1.0
            };
            (server.expected + 1.0) * slowness - server.cached * CACHE_WORTH
        })
    }
}

/// The mean time for a token over the servers that show one, 1 without any.
fn usual_token_seconds(servers: &[ServerLoad]) -> f64 {
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

/// The first server from `start` on that stays.
fn first_staying(servers: &[ServerLoad], start: usize) -> Option<usize> {
    let count = servers.len();
    for step in 0..count {
        let index = (start + step) % count;
        if !servers[index].draining {
            return Some(index);
        }
    }
    None
}

/// The staying server of least `cost`; among equals the first from `start`.
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

/// The number after `state` in a linear congruential sequence.
fn next_random(state: u64) -> u64 {
    state.wrapping_mul(RANDOM_FACTOR).wrapping_add(RANDOM_STEP)
}

/// A position below `count` from the high bits of `random`.
fn position(random: u64, count: usize) -> usize {
    let high = random >> 33;
    usize::try_from(high).unwrap_or(0) % count.max(1)
}
