//! Load of servers as one process estimates it.

use std::net::SocketAddr;

use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;

/// One server and its estimated load.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// Its name.
    pub name: ServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests in progress by its last report.
    pub reported: u32,
    /// Requests that this process has in progress there.
    pub own: u32,
}

impl ServerLoad {
    /// Requests expected to be in progress.
    pub fn expected(&self) -> u32 {
        self.reported.max(self.own)
    }
}
