//! Duty: fetches newer versions from peers, and answers theirs.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_config::state::StateAssembly;
use hibiscus_config::state::StatePart;
use hibiscus_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::config::cell::TailPage;
use crate::config::follow;
use crate::context::SharedContext;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Time between looks at the versions that peers have in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a peer may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a first configuration waits for the heartbeats of most peers,
/// so that it starts from the highest version among them.
const FIRST_WAIT: Duration = Duration::from_secs(2);
/// Bytes of records in one answer.
const ANSWER_BYTES: usize = 256 * 1024;

/// What one instance asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConfigRequest {
    /// The records from an offset on.
    Tail {
        /// The offset.
        from: u64,
    },
    /// A part of the whole state.
    State {
        /// The state whose earlier parts were read, `None` for the first.
        next: Option<u64>,
        /// The part.
        index: u32,
    },
}

/// What an instance answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConfigReply {
    /// Records with their offsets, in order; the rest is to be asked for.
    Records(Vec<(u64, Vec<u8>)>),
    /// The records are no longer held; the whole state is.
    Dropped,
    /// A part of the whole state.
    Part(Box<StatePart>),
    /// There is no configuration here yet.
    Nothing,
}

/// Answers a peer.
pub fn answer(context: &SharedContext, request: &ConfigRequest) -> ConfigReply {
    match request {
        ConfigRequest::Tail { from } => match context.config.tail(*from) {
            TailPage::Records(records) => ConfigReply::Records(shorten(records)),
            TailPage::Dropped => ConfigReply::Dropped,
        },
        ConfigRequest::State { next, index } => match context.config.part(*next, *index) {
            Some(part) => ConfigReply::Part(Box::new(part)),
            None => ConfigReply::Nothing,
        },
    }
}

/// The first of `records`, as many as one answer may hold.
fn shorten(mut records: Vec<(u64, Vec<u8>)>) -> Vec<(u64, Vec<u8>)> {
    let mut bytes = 0;
    let fitting = records.iter().take_while(|(_offset, data)| {
        let first = bytes == 0;
        bytes += data.len();
        first || bytes <= ANSWER_BYTES
    });
    let count = fitting.count();
    records.truncate(count);
    records
}

/// Fetches from peers until the process ends.
pub fn fetch(context: &SharedContext) {
    let started = Instant::now();
    while !context.is_ended() {
        thread::sleep(LOOK_INTERVAL);
        let Some(peer) = newest_peer(context, started) else {
            continue;
        };
        // A peer that fails is asked again, or another one by then newer.
        let _fetched = fetch_from(context, peer);
    }
}

/// The peer with the highest version, if it is higher than the own one.
fn newest_peer(context: &SharedContext, started: Instant) -> Option<SocketAddr> {
    let own = context.config.get().version;
    let fleet = context.fleet.lock();
    if own == 0 && started.elapsed() < FIRST_WAIT && !fleet.knows_majority() {
        return None;
    }
    let (peer, version) = fleet.newest_config(UnixMillis::now())?;
    (version > own).then_some(peer.peers)
}

/// Fetches all that `peer` has; `None` when it stopped answering.
fn fetch_from(context: &SharedContext, peer: SocketAddr) -> Option<()> {
    loop {
        let from = context.config.next_offset();
        match ask(context, peer, ConfigRequest::Tail { from })? {
            ConfigReply::Records(records) if records.is_empty() => return Some(()),
            ConfigReply::Records(records) => follow::take(context, &records).ok()?,
            ConfigReply::Dropped => fetch_state(context, peer)?,
            ConfigReply::Part(_) | ConfigReply::Nothing => return None,
        }
    }
}

/// Fetches the whole state of `peer`.
fn fetch_state(context: &SharedContext, peer: SocketAddr) -> Option<()> {
    let mut assembly = StateAssembly::default();
    let mut next = None;
    let mut index = 0;
    loop {
        let request = ConfigRequest::State { next, index };
        let ConfigReply::Part(part) = ask(context, peer, request)? else {
            return None;
        };
        next = Some(part.header.next);
        index = part.index + 1;
        if let Some(fold) = assembly.take(*part).ok()? {
            follow::replace(context, fold);
            return Some(());
        }
    }
}

/// Asks `peer` once.
fn ask(context: &SharedContext, peer: SocketAddr, request: ConfigRequest) -> Option<ConfigReply> {
    let request = PeerRequest::Config(request);
    match request.call(context, peer, CALL_TIMEOUT) {
        Ok(PeerReply::Config(reply)) => Some(reply),
        _ => None,
    }
}
