//! The budgets that this instance holds, and its resulting duties.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_ledger::account::policy::DrawMode;
use hibiscus_types::BudgetName;

use crate::budgets::BudgetRole;
use crate::directory::InstanceDirectory;
use crate::holders::GroupHolders;
use crate::holders::HOLDERS_PER_BUDGET;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Time for instances that start together to announce themselves and to
/// discover each other: they start within 0.3 s, and an append takes
/// milliseconds.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1_500);

/// The ranks of this instance among the holders, over all budgets.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldRanks {
    /// Generation of the directory that the ranks were computed for.
    generation: u64,
    /// Number of budget groups that the ranks were computed for.
    groups: usize,
    /// Whether this instance holds any budget.
    any: bool,
    /// Whether this instance is the first holder of some budget.
    first: bool,
}

impl<D: WireFormat> TrafficState<D> {
    /// Returns the role of this instance for `budget`. Until the other instances
    /// are known it draws only for waiting requests: otherwise each instance of
    /// a starting fleet would draw as if it were alone.
    pub(super) fn role_of(&self, directory: &InstanceDirectory, budget: &BudgetName) -> BudgetRole {
        let holders = self.group_holders(directory, budget);
        let most = u32::try_from(HOLDERS_PER_BUDGET).unwrap_or(u32::MAX);
        let mode = if !self.knows_fleet() {
            DrawMode::OnDemand
        } else if holders.own_rank.is_none() {
            DrawMode::Release
        } else if directory.reaches_majority() || directory.possibly_live_count() <= most {
            DrawMode::Prefetch
        } else {
            DrawMode::OnDemand
        };
        BudgetRole {
            holders: holders.count,
            mode,
            is_first_holder: holders.own_rank == Some(0),
        }
    }

    /// Whether all instances hold all budgets.
    pub fn all_hold(&self) -> bool {
        let most = u32::try_from(HOLDERS_PER_BUDGET).unwrap_or(u32::MAX);
        self.directory.borrow().possibly_live_count() <= most
    }

    /// Returns the holders of `budget`.
    pub(super) fn group_holders(
        &self,
        directory: &InstanceDirectory,
        budget: &BudgetName,
    ) -> Rc<GroupHolders> {
        let budgets = self.budget_count.get();
        let mut table = self.holders.borrow_mut();
        table.holders(budget, budgets, directory)
    }

    /// Whether this instance reads the account stream: it does if it holds a
    /// budget or has an unsettled account. While the fleet is unknown it reads
    /// the stream only at a first start, when the stream is empty.
    pub fn reads_account_stream(&self) -> bool {
        let directory = self.directory.borrow();
        if !self.knows_fleet() {
            return self.first_start;
        }
        self.held_ranks(&directory).any || self.budgets.has_unsettled_account()
    }

    /// Whether this instance closes the accounts of ended processes of other
    /// machines: it does if it is the first holder of some budget.
    pub fn closes_accounts(&self) -> bool {
        let directory = self.directory.borrow();
        self.knows_fleet() && self.held_ranks(&directory).first
    }

    /// Returns the ranks of this instance over all budgets.
    fn held_ranks(&self, directory: &InstanceDirectory) -> HeldRanks {
        let names = self.budgets.group_samples();
        let (generation, groups) = (directory.generation(), names.len());
        let known = self.ranks.get();
        let known = known.filter(|known| (known.generation, known.groups) == (generation, groups));
        if let Some(known) = known {
            return known;
        }
        let ranks = names
            .iter()
            .map(|budget| self.group_holders(directory, budget).own_rank);
        let ranks: Vec<usize> = ranks.flatten().collect();
        let found = HeldRanks {
            generation,
            groups,
            any: !ranks.is_empty(),
            first: ranks.contains(&0),
        };
        self.ranks.set(Some(found));
        found
    }

    /// Whether this instance requests tokens of `budget` from holders instead of
    /// drawing them.
    pub fn requests_from_holders(&self, budget: &BudgetName) -> bool {
        let directory = self.directory.borrow();
        let holders = self.group_holders(&directory, budget);
        self.knows_fleet() && holders.own_rank.is_none()
    }

    /// Returns the peer link addresses of the other holders of `budget`, in the
    /// order in which this instance sends them requests.
    pub fn other_holders(&self, budget: &BudgetName) -> Vec<SocketAddr> {
        let directory = self.directory.borrow();
        self.group_holders(&directory, budget).others.clone()
    }

    /// Returns the peer link addresses of the other holders of the budgets that
    /// this instance holds.
    pub fn co_holders(&self) -> Vec<SocketAddr> {
        let directory = self.directory.borrow();
        for budget in self.budgets.group_samples().iter() {
            let holders = self.group_holders(&directory, budget);
            if holders.own_rank.is_some() {
                return holders.others.clone();
            }
        }
        Vec::new()
    }

    /// Whether the other instances are known. At the first start of the system
    /// they must have had time to announce themselves; later, the stored
    /// announcements list them.
    fn knows_fleet(&self) -> bool {
        let Some(read) = self.instances_read.get() else {
            return false;
        };
        !self.first_start || self.now().saturating_sub(read) >= ANNOUNCEMENT_DELAY
    }
}
