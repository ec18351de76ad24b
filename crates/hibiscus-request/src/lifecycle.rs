//! States of one request, from admission to its response.

use hibiscus_types::GrantId;
use hibiscus_types::RequestKey;
use hibiscus_types::ServerName;
use hibiscus_types::TokenCount;

/// A request that passed its checks and has no token grant yet.
#[derive(Debug)]
pub struct AdmittedRequest {
    key: RequestKey,
}

/// A request whose open record was acknowledged.
#[derive(Debug)]
pub struct OpenedRequest {
    key: RequestKey,
    grant: GrantId,
    reserved: TokenCount,
    attempt: u32,
}

/// A request of which a server may have received a byte.
#[derive(Debug)]
pub struct DispatchedRequest {
    opened: OpenedRequest,
    server: ServerName,
    /// Whether a server may have run it in an earlier attempt.
    failed_before: bool,
}

/// A request that a server may have run and that has no complete response.
#[derive(Debug)]
pub struct FailedRequest {
    opened: OpenedRequest,
}

impl FailedRequest {
    /// Sends an idempotent request to another server.
    pub fn dispatch_again(self, server: ServerName) -> DispatchedRequest {
        DispatchedRequest {
            failed_before: true,
            ..self.opened.dispatch(server)
        }
    }
}

/// Status with which an engine refuses a request before it starts: too many
/// requests.
const STATUS_TOO_MANY: u16 = 429;
/// Status with which an engine refuses a request before it starts: service
/// unavailable.
const STATUS_UNAVAILABLE: u16 = 503;

/// Evidence that an attempt ran no part of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotBegunEvidence {
    status: Option<u16>,
}

impl NotBegunEvidence {
    /// The server refused the connection, or none was established in time, so
    /// it received no byte.
    pub fn connection_refused() -> Self {
        Self { status: None }
    }

    /// Returns evidence if a model engine responded with a `status` that it
    /// uses only before it starts a request.
    pub fn engine_refused(status: u16) -> Option<Self> {
        let refused = matches!(status, STATUS_TOO_MANY | STATUS_UNAVAILABLE);
        refused.then_some(Self {
            status: Some(status),
        })
    }

    /// The engine's refusal status, or `None` if the engine was not reached.
    pub fn status(self) -> Option<u16> {
        self.status
    }
}

/// Proof that no server ran any part of the request.
#[derive(Debug)]
pub struct NotRunProof {
    key: RequestKey,
}

impl AdmittedRequest {
    /// Admits the request `key`.
    pub fn new(key: RequestKey) -> Self {
        Self { key }
    }

    /// The request's key.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// Marks the request as opened under `grant` once its open record is
    /// acknowledged.
    pub fn opened(self, grant: GrantId, reserved: TokenCount, attempt: u32) -> OpenedRequest {
        OpenedRequest {
            key: self.key,
            grant,
            reserved,
            attempt,
        }
    }

    /// Refuses the request before anything was sent.
    pub fn refuse(self) -> NotRunProof {
        NotRunProof { key: self.key }
    }
}

impl OpenedRequest {
    /// The request's key.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// The grant that pays for the request.
    pub fn grant(&self) -> GrantId {
        self.grant
    }

    /// Tokens reserved for the request.
    pub fn reserved(&self) -> TokenCount {
        self.reserved
    }

    /// Number of the attempt that was opened.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Marks the request as about to be sent to `server`.
    pub fn dispatch(self, server: ServerName) -> DispatchedRequest {
        DispatchedRequest {
            opened: self,
            server,
            failed_before: false,
        }
    }

    /// Refuses the request before anything was sent.
    pub fn refuse(self) -> NotRunProof {
        NotRunProof { key: self.key }
    }
}

impl DispatchedRequest {
    /// The request as it was before it was dispatched.
    pub fn opened(&self) -> &OpenedRequest {
        &self.opened
    }

    /// The server that the request was sent to.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Returns the request to its state before an attempt that ran nothing.
    ///
    /// # Errors
    ///
    /// Returns the failed request if a server may have run it in an earlier attempt.
    pub fn not_begun(self, _evidence: NotBegunEvidence) -> Result<OpenedRequest, FailedRequest> {
        if self.failed_before {
            return Err(self.failed());
        }
        Ok(self.opened)
    }

    /// Marks an attempt as failed after the server may have started it. An
    /// idempotent request can be sent again, but no longer end as not run.
    pub fn failed(self) -> FailedRequest {
        FailedRequest {
            opened: self.opened,
        }
    }
}

impl NotRunProof {
    /// The request's key.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }
}
