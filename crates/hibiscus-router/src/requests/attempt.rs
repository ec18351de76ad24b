//! Attempts of one request at servers: what each needs and how it ended.

use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::engine::CallHeaders;
use hibiscus_clients::engine::EngineClient;
use hibiscus_clients::engine::EngineError;
use hibiscus_request::lifecycle::DispatchedRequest;
use hibiscus_request::lifecycle::FailedRequest;
use hibiscus_request::lifecycle::NotBegunEvidence;
use hibiscus_request::lifecycle::NotRunProof;
use hibiscus_request::lifecycle::OpenedRequest;
use hibiscus_request::quarantine::BodyFingerprint;
use hibiscus_request::quarantine::RequestSuspicion;
use hibiscus_request::quarantine::ServerCrash;
use hibiscus_routing::load::ServerLoad;
use hibiscus_types::RefusalReason;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::UnixMillis;

use crate::callers::answer::RequestFailure;
use crate::context::SharedContext;
use crate::requests::CallerRequest;
use crate::requests::RequestPath;
use crate::servers::AttemptEnd;
use crate::servers::claims;
use crate::servers::suspects;
use crate::servers::watch::CallWatch;
use crate::servers::watch::WatchedCall;

/// Servers that one request is sent to at most.
const ATTEMPT_LIMIT: usize = 3;
/// Longest wait for a server on which a suspect is alone.
const ALONE_WAIT: Duration = Duration::from_secs(5);

/// A request between two attempts.
#[derive(Debug)]
pub enum ReadyRequest {
    /// No server has begun it.
    Opened(OpenedRequest),
    /// A server may have run it.
    Failed(FailedRequest),
}

impl ReadyRequest {
    /// The request is about to be sent to `server`.
    pub fn dispatch(self, server: ServerName) -> DispatchedRequest {
        match self {
            Self::Opened(opened) => opened.dispatch(server),
            Self::Failed(failed) => failed.dispatch_again(server),
        }
    }

    /// The proof that nothing ran, if it is so.
    pub fn refuse(self) -> Option<NotRunProof> {
        match self {
            Self::Opened(opened) => Some(opened.refuse()),
            Self::Failed(_) => None,
        }
    }
}

/// Counts the attempts of one request and chooses their servers.
pub struct RequestAttempts<'a> {
    context: &'a SharedContext,
    request: &'a CallerRequest,
    service: &'a ServiceName,
    fingerprint: BodyFingerprint,
    model: bool,
    tried: Vec<ServerName>,
    ran_before: bool,
}

/// Why there is no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStop {
    /// No server of the service may be used.
    NoServer,
    /// The attempts or the retries of this process are used up.
    RetriesSpent,
    /// The deadline passed.
    Deadline,
    /// The request stopped the servers that ran it.
    Quarantined,
}

/// A server chosen for an attempt.
pub struct ChosenServer {
    /// The server.
    pub load: ServerLoad,
    /// Whether the attempt runs alone there.
    pub alone: bool,
}

impl<'a> RequestAttempts<'a> {
    /// Starts the attempts of `request` at `service`.
    pub fn new(
        context: &'a SharedContext,
        request: &'a CallerRequest,
        service: &'a ServiceName,
        path: &str,
    ) -> Self {
        context.servers.count_request(service);
        Self {
            context,
            request,
            service,
            fingerprint: BodyFingerprint::of(&request.key.team, path, &request.body),
            model: matches!(request.path, RequestPath::Chat { .. }),
            tried: Vec::new(),
            ran_before: false,
        }
    }

    /// Chooses the server of the next attempt.
    pub fn next_server(&mut self) -> Result<ChosenServer, AttemptStop> {
        let suspicion = self.context.suspects.suspicion(self.fingerprint);
        if suspicion == RequestSuspicion::Quarantined {
            return Err(AttemptStop::Quarantined);
        }
        if self.request.remaining().is_zero() {
            return Err(AttemptStop::Deadline);
        }
        let retry = !self.tried.is_empty();
        if self.tried.len() >= ATTEMPT_LIMIT
            || (retry && !self.context.servers.take_retry(self.service))
        {
            return Err(AttemptStop::RetriesSpent);
        }
        let alone = suspicion == RequestSuspicion::Suspect;
        let chosen = if alone {
            let wait = ALONE_WAIT.min(self.request.remaining());
            let seed = self.fingerprint.get();
            let until = Instant::now() + wait;
            claims::choose(self.context, self.service, &self.tried, seed, until)
        } else {
            let others = self.context.other_instances();
            self.context
                .servers
                .choose(self.service, &self.tried, others)
        };
        let load = chosen.ok_or(AttemptStop::NoServer)?;
        self.tried.push(load.name.clone());
        Ok(ChosenServer { load, alone })
    }

    /// Gives a chosen server back without an attempt.
    pub fn give_back(&self, chosen: &ChosenServer) {
        self.end_attempt(chosen, AttemptEnd::Nothing);
    }

    /// The attempt was answered to its end.
    pub fn answered(&self, chosen: &ChosenServer) {
        self.end_attempt(chosen, AttemptEnd::Answered);
        if chosen.alone {
            self.context.suspects.clear(self.fingerprint);
        }
    }

    /// The attempt failed with `error`; the request as it may be sent again.
    pub fn failed(
        &mut self,
        chosen: &ChosenServer,
        dispatched: DispatchedRequest,
        error: &EngineError,
    ) -> ReadyRequest {
        if let Some(evidence) = self.evidence(error) {
            let end = match evidence.status() {
                Some(_) => AttemptEnd::Busy,
                None => AttemptEnd::Failed,
            };
            self.end_attempt(chosen, end);
            return match dispatched.not_begun(evidence) {
                Ok(opened) => ReadyRequest::Opened(opened),
                Err(failed) => ReadyRequest::Failed(failed),
            };
        }
        let stopped = suspects::has_stopped(chosen.load.address, error);
        // A call that was ended for its caller's sake shows nothing of the
        // server.
        let ended_here = self.request.remaining().is_zero() || self.request.presence.has_left();
        let end = if ended_here && !stopped {
            AttemptEnd::Nothing
        } else {
            AttemptEnd::Failed
        };
        self.end_attempt(chosen, end);
        if stopped {
            let death = ServerCrash {
                fingerprint: self.fingerprint,
                server: chosen.load.name.clone(),
                alone: chosen.alone,
                seen: UnixMillis::now(),
            };
            suspects::report(self.context, &death);
        }
        self.ran_before = true;
        ReadyRequest::Failed(dispatched.failed())
    }

    /// Ends the count of an attempt, and the claim of a suspect.
    fn end_attempt(&self, chosen: &ChosenServer, end: AttemptEnd) {
        self.context.servers.release(&chosen.load.name, end);
        if chosen.alone {
            self.context.servers.unclaim(&chosen.load.name);
            claims::end(self.context, &chosen.load.name, self.fingerprint.get());
        }
    }

    /// Why the request ends without an answer, given the state it is in.
    pub fn failure(&self, stop: AttemptStop, ready: Option<ReadyRequest>) -> RequestFailure {
        let failure = RequestFailure::unknown(self.reason(stop), self.message(stop));
        if stop == AttemptStop::Quarantined {
            return failure.proved_ran();
        }
        match ready.and_then(ReadyRequest::refuse) {
            Some(proof) => failure.proved_not_run(&proof),
            None => failure,
        }
    }

    /// Evidence that a failed attempt ran nothing. A plain service's status
    /// is none: it may have run the call before it failed.
    fn evidence(&self, error: &EngineError) -> Option<NotBegunEvidence> {
        match error {
            EngineError::NotConnected(_) => Some(NotBegunEvidence::connection_refused()),
            EngineError::Refused { status } if self.model => {
                NotBegunEvidence::engine_refused(*status)
            }
            _ => None,
        }
    }

    fn reason(&self, stop: AttemptStop) -> RefusalReason {
        match stop {
            AttemptStop::Quarantined => RefusalReason::Quarantined,
            AttemptStop::Deadline => RefusalReason::DeadlineExceeded,
            _ if self.ran_before => RefusalReason::ServerFailed,
            _ => RefusalReason::NoServer,
        }
    }

    fn message(&self, stop: AttemptStop) -> String {
        let service = self.service;
        let count = self.tried.len();
        match stop {
            AttemptStop::Quarantined => {
                "failed to run the request: it ran and stopped each server that ran it".to_owned()
            }
            AttemptStop::Deadline => {
                format!("failed to finish the request before its deadline: {count} servers tried")
            }
            _ if self.ran_before => {
                format!("failed to finish the request: {count} servers failed")
            }
            _ => format!("failed to reach a server of service `{service}`"),
        }
    }
}

/// The fencing number of calls to `service`: the version of its entry in the
/// configuration, the same at every router that has it in force.
pub fn fencing_number(context: &SharedContext, service: &ServiceName) -> String {
    let version = context.config.get().service_version(service);
    format!("{version:032x}")
}

/// What travels beside the body of a call.
pub fn headers<'a>(
    request: &'a CallerRequest,
    fencing: &'a str,
    resume_from: u64,
) -> CallHeaders<'a> {
    CallHeaders {
        request_id: &request.key.key,
        fencing,
        priority: request.priority,
        remaining: request.remaining(),
        resume_from,
    }
}

/// A client for one call that ends when its server falls silent, its deadline
/// passes or its caller leaves.
pub fn watched_client<'a>(
    context: &'a SharedContext,
    request: &CallerRequest,
) -> (EngineClient, WatchedCall<'a>) {
    let silence = Duration::from_millis(context.settings.limits.server_silence_ms);
    let client = EngineClient::new(silence);
    let watch: &CallWatch = &context.watch;
    let watched = watch.start(
        client.abort_handle(),
        silence,
        request.deadline,
        request.presence.clone(),
    );
    (client, watched)
}
