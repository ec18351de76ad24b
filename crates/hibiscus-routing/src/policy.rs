//! Choice of a server.

use crate::load::ServerLoad;

/// Chooses a server for a request.
pub trait RoutingPolicy {
    /// The position of the chosen server, `None` when none may be used.
    /// `pick` is a number that differs from request to request.
    fn choose(&self, servers: &[ServerLoad], pick: u64) -> Option<usize>;
}

/// The least expected load; equal loads are taken in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastExpected;

impl RoutingPolicy for LeastExpected {
    fn choose(&self, servers: &[ServerLoad], pick: u64) -> Option<usize> {
        let count = servers.len();
        let first = usize::try_from(pick % count.max(1) as u64).unwrap_or(0);
        let mut best: Option<usize> = None;
        for step in 0..count {
            let index = (first + step) % count;
            if servers[index].leaving {
                continue;
            }
            let better =
                best.is_none_or(|held| servers[index].expected() < servers[held].expected());
            if better {
                best = Some(index);
            }
        }
        best
    }
}
