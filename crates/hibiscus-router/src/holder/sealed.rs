//! Grants whose reclaim requests have run into, on their way to the holder.

use std::sync::Mutex;
use std::sync::PoisonError;

use hibiscus_types::GrantId;

/// Grants that the holder duty has not taken out of use yet.
#[derive(Debug, Default)]
pub struct SealedGrants {
    grants: Mutex<Vec<GrantId>>,
}

impl SealedGrants {
    /// A witness or the ledger refused an open under `grant`.
    pub fn add(&self, grant: GrantId) {
        let mut grants = self.grants.lock().unwrap_or_else(PoisonError::into_inner);
        if !grants.contains(&grant) {
            grants.push(grant);
        }
    }

    /// Takes the grants out.
    pub fn take(&self) -> Vec<GrantId> {
        let mut grants = self.grants.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *grants)
    }
}
