//! Requests for snapshots of budgets of which this process lacks history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hibiscus_types::BudgetName;

use crate::notices;
use crate::peers::PeerRequest;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Maximum number of budgets in one request.
const BUDGETS_PER_REQUEST_LIMIT: usize = 1_000;

impl<D: WireFormat> TrafficState<D> {
    /// Requests snapshots of unproven budgets from their other holders.
    pub fn request_snapshots(self: &Rc<Self>) {
        let mut requested: BTreeMap<SocketAddr, Vec<BudgetName>> = BTreeMap::new();
        for budget in self.budgets.snapshots_to_request() {
            for holder in self.other_holders(&budget) {
                requested.entry(holder).or_default().push(budget.clone());
            }
        }
        for (holder, mut budgets) in requested {
            budgets.truncate(BUDGETS_PER_REQUEST_LIMIT);
            let state = Rc::clone(self);
            tokio::task::spawn_local(async move {
                let request = PeerRequest::WriteSnapshots(budgets);
                // The reader finds the snapshots in the store.
                let _is_known = notices::send(&state, holder, &request).await;
            });
        }
    }
}
