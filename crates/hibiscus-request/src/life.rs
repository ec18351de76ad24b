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

/// Proof that no server received any byte of the request.
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

    /// The connection was refused: the server received nothing, and the
    /// request may be sent to another.
    pub fn not_connected(self) -> OpenedRequest {
        self.opened
    }
}

impl NotRunProof {
    /// The request's key.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }
}
