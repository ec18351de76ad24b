//! States of one request.

use hibiscus_types::GrantId;
use hibiscus_types::RequestKey;
use hibiscus_types::ServerName;
use hibiscus_types::TokenCount;

/// A request that passed its checks and has no allowance yet.
#[derive(Debug)]
pub struct AdmittedRequest {
    key: RequestKey,
}

/// A request whose open was acknowledged.
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
}

/// A request that a server may have run and that has no whole answer.
#[derive(Debug)]
pub struct FailedRequest {
    opened: OpenedRequest,
}

impl FailedRequest {
    /// Sends an idempotent request to another server.
    pub fn dispatch_again(self, server: ServerName) -> DispatchedRequest {
        self.opened.dispatch(server)
    }
}

/// Status by which an engine refuses a request that it has not begun: too
/// many requests.
const STATUS_TOO_MANY: u16 = 429;
/// Status by which an engine refuses a request that it has not begun: not
/// available.
const STATUS_UNAVAILABLE: u16 = 503;

/// Evidence that an attempt ran nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotBegunEvidence {
    status: Option<u16>,
}

impl NotBegunEvidence {
    /// The server refused the connection, or none was made in time: it
    /// received no byte.
    pub fn connection_refused() -> Self {
        Self { status: None }
    }

    /// A model engine answered `status`. Only the statuses by which an engine
    /// refuses before it begins are evidence.
    pub fn engine_refused(status: u16) -> Option<Self> {
        let refused = matches!(status, STATUS_TOO_MANY | STATUS_UNAVAILABLE);
        refused.then_some(Self {
            status: Some(status),
        })
    }

    /// The status by which the engine refused, if it was reached.
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

    /// The open of the request was acknowledged under `grant`.
    pub fn opened(self, grant: GrantId, reserved: TokenCount, attempt: u32) -> OpenedRequest {
        OpenedRequest {
            key: self.key,
            grant,
            reserved,
            attempt,
        }
    }

    /// Gives the request up before anything was sent.
    pub fn refuse(self) -> NotRunProof {
        NotRunProof { key: self.key }
    }
}

impl OpenedRequest {
    /// The request's key.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// The grant that pays.
    pub fn grant(&self) -> GrantId {
        self.grant
    }

    /// Tokens set aside.
    pub fn reserved(&self) -> TokenCount {
        self.reserved
    }

    /// The attempt that was opened.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// The request is about to be sent to `server`.
    pub fn dispatch(self, server: ServerName) -> DispatchedRequest {
        DispatchedRequest {
            opened: self,
            server,
        }
    }

    /// Gives the request up before anything was sent.
    pub fn refuse(self) -> NotRunProof {
        NotRunProof { key: self.key }
    }
}

impl DispatchedRequest {
    /// The opened request.
    pub fn opened(&self) -> &OpenedRequest {
        &self.opened
    }

    /// The server that it was sent to.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// The attempt ran nothing: the request is as it was before it.
    pub fn not_begun(self, _evidence: NotBegunEvidence) -> OpenedRequest {
        self.opened
    }

    /// The attempt failed after the server may have begun. The request can be
    /// sent again, if it is idempotent, but it can no longer end as not run.
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
