//! Fault-injecting proxies for TCP and UDP.
//!
//! A proxy forwards between its own loopback port and one target, and applies
//! [`LinkFaults`] to each direction: towards the target and back. Faults can
//! be replaced at any time and take effect for the next bytes.

pub mod tcp;
pub mod udp;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

pub use tcp::TcpProxy;
pub use udp::UdpProxy;

/// Faults of one direction. The default has none.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// TCP: closes connections and refuses new ones. UDP: drops everything.
    pub cut: bool,
    /// Keeps bytes back until the fault is lifted.
    pub hold: bool,
    /// Added to each piece's way.
    pub delay: Duration,
    /// UDP: share of the datagrams that are dropped, 0 to 1.
    pub drop_share: f64,
    /// UDP: share of the datagrams that swap places with the next, 0 to 1.
    pub reorder_share: f64,
    /// TCP: closes this direction after so many bytes of a connection.
    pub close_after: Option<usize>,
}

/// A direction of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the client to the target.
    Forward,
    /// From the target to the client.
    Back,
}

/// The faults of both directions, shared with the proxy's threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultCell {
    forward: Arc<Mutex<LinkFaults>>,
    back: Arc<Mutex<LinkFaults>>,
}

impl FaultCell {
    /// The faults of `direction`.
    pub(crate) fn get(&self, direction: LinkDirection) -> LinkFaults {
        let cell = self.cell(direction);
        cell.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the faults of `direction`.
    pub(crate) fn set(&self, direction: LinkDirection, faults: LinkFaults) {
        let cell = self.cell(direction);
        *cell.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn cell(&self, direction: LinkDirection) -> &Mutex<LinkFaults> {
        match direction {
            LinkDirection::Forward => &self.forward,
            LinkDirection::Back => &self.back,
        }
    }
}
