//! Servers on which one suspect runs alone, kept free by all instances.
//!
//! Were another request to run beside a suspect, and the server to stop, both
//! would look guilty. An instance that will run a suspect asks all others to
//! keep off the server; one that runs a suspect of its own there refuses, and
//! the asking instance takes another server. An instance that does not answer
//! is not waited for.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::load::ServerLoad;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::context::SharedContext;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Longest time for which a server is kept free, should its release be lost.
const CLAIM_LEASE: Duration = Duration::from_secs(60);
/// Time that an instance may take to answer.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between looks at a server that is being emptied.
const EMPTY_POLL: Duration = Duration::from_millis(20);

/// Asks to keep requests off a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerClaim {
    /// The server.
    pub server: ServerName,
    /// Fingerprint of the suspect.
    pub seed: u64,
    /// For how long; zero gives the server back.
    pub lease: Duration,
}

/// What an instance answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// It has no request there and sends none.
    Free,
    /// It sends none, and has requests there that have not ended.
    Busy,
    /// Another suspect has the server.
    Taken,
}

/// Chooses a server and waits until `deadline` for it to be empty of all
/// instances' requests. `seed` leads the same request to the same server from
/// every instance.
pub fn choose(
    context: &SharedContext,
    service: &ServiceName,
    tried: &[ServerName],
    seed: u64,
    deadline: Instant,
) -> Option<ServerLoad> {
    let mut skipped = tried.to_vec();
    while Instant::now() < deadline {
        let Some(server) = context.servers.claim(service, &skipped, seed) else {
            skipped.truncate(tried.len());
            thread::sleep(EMPTY_POLL);
            continue;
        };
        if let Some(chosen) = wait_empty(context, &server, seed, deadline) {
            return Some(chosen);
        }
        context.servers.unclaim(&server);
        end(context, &server, seed);
        skipped.push(server);
    }
    None
}

/// Waits until no instance has a request at the claimed server; `None` when
/// another suspect has it or time is up.
fn wait_empty(
    context: &SharedContext,
    server: &ServerName,
    seed: u64,
    deadline: Instant,
) -> Option<ServerLoad> {
    while Instant::now() < deadline {
        let answers = ask_all(context, server, seed, CLAIM_LEASE);
        if answers.contains(&ClaimAnswer::Taken) {
            return None;
        }
        if !answers.contains(&ClaimAnswer::Busy)
            && let Some(chosen) = context.servers.take_claimed(server)
        {
            return Some(chosen);
        }
        thread::sleep(EMPTY_POLL);
    }
    None
}

/// Lets all instances use the server again.
pub fn end(context: &SharedContext, server: &ServerName, seed: u64) {
    ask_all(context, server, seed, Duration::ZERO);
}

/// Asks all other instances at once and collects the answers that come.
fn ask_all(
    context: &SharedContext,
    server: &ServerName,
    seed: u64,
    lease: Duration,
) -> Vec<ClaimAnswer> {
    let request = PeerRequest::ServerClaim(ServerClaim {
        server: server.clone(),
        seed,
        lease,
    });
    let instances = context.fleet.lock().instances().to_vec();
    let mut pending = Vec::with_capacity(instances.len());
    for instance in &instances {
        if instance.name == context.settings.instance.name {
            continue;
        }
        let Ok(call) = request.start(context, instance.peers, CLAIM_TIMEOUT) else {
            continue;
        };
        pending.push(call);
    }
    let mut answers = Vec::with_capacity(pending.len());
    for call in pending {
        if let Ok(PeerReply::ServerClaim(answer)) = PeerReply::receive(call) {
            answers.push(answer);
        }
    }
    answers
}
