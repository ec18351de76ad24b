//! The desk as the tasks of the traffic thread share it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_ledger::account::quota::QuotaReservation;
use hibiscus_ledger::account::quota::ReservationError;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;
use tokio::sync::Notify;

use crate::budgets::BudgetManager;
use crate::budgets::BudgetRole;
use crate::budgets::RecoveryPhase;
use crate::budgets::TokenRefusal;
use crate::model::FleetConfig;
use crate::tally::WorkTally;

/// The desk as the tasks of the traffic thread share it.
#[derive(Clone)]
pub struct BudgetHandle {
    desk: Rc<RefCell<BudgetManager>>,
    started: Instant,
}

impl BudgetHandle {
    /// Shares `desk`.
    pub fn new(desk: BudgetManager) -> Self {
        Self {
            desk: Rc::new(RefCell::new(desk)),
            started: Instant::now(),
        }
    }

    /// See [`BudgetManager::tally`].
    pub fn tally(&self) -> Rc<WorkTally> {
        Rc::clone(self.desk.borrow().tally())
    }

    /// See [`BudgetManager::set_stream_end`].
    pub fn set_stream_end(&self, end: u64) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().set_stream_end(end, now);
    }

    /// See [`BudgetManager::unread_records`].
    pub fn unread_records(&self) -> u64 {
        self.desk.borrow().unread_records()
    }

    /// See [`BudgetManager::account_count`].
    pub fn account_count(&self) -> usize {
        self.desk.borrow().account_count()
    }

    /// See [`BudgetManager::set_totals`].
    pub fn set_totals(&self, config: &FleetConfig) {
        self.desk.borrow_mut().set_totals(config);
    }

    /// See [`BudgetManager::set_start_time`].
    pub fn set_start_time(&self) {
        self.desk.borrow_mut().set_start_time();
    }

    /// See [`BudgetManager::process_start`].
    pub fn process_start(&self) -> (IncarnationId, MachineTime, Duration) {
        self.desk.borrow().process_start()
    }

    /// See [`BudgetManager::machines_with_ended_processes`].
    pub fn machines_with_ended_processes(
        &self,
        present: impl Fn(&InstanceName) -> Option<IncarnationId>,
    ) -> BTreeSet<InstanceName> {
        self.desk.borrow().machines_with_ended_processes(present)
    }

    /// See [`BudgetManager::close_machine`].
    pub fn close_machine(
        &self,
        machine: &InstanceName,
        present: IncarnationId,
        began: MachineTime,
    ) -> usize {
        let mut desk = self.desk.borrow_mut();
        desk.close_machine(machine, present, began)
    }

    /// See [`BudgetManager::close_machine_by_agreement`].
    pub fn close_machine_by_agreement(
        &self,
        machine: &InstanceName,
        present: IncarnationId,
        ended: Option<u64>,
    ) {
        let mut desk = self.desk.borrow_mut();
        desk.close_machine_by_agreement(machine, present, ended);
    }

    /// See [`BudgetManager::group_samples`].
    pub fn group_samples(&self) -> Rc<Vec<BudgetName>> {
        self.desk.borrow().group_samples()
    }

    /// See [`BudgetManager::budget_count`].
    pub fn budget_count(&self) -> usize {
        self.desk.borrow().budget_count()
    }

    /// See [`BudgetManager::has_unsettled_account`].
    pub fn has_unsettled_account(&self) -> bool {
        self.desk.borrow().has_unsettled_account()
    }

    /// See [`BudgetManager::apply`].
    pub fn apply(&self, offset: u64, record: &[u8]) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().apply(offset, record, now);
    }

    /// See [`BudgetManager::resume`].
    pub fn resume(&self, first: u64, snapshots: Vec<AccountSnapshot>) {
        self.desk.borrow_mut().resume(first, snapshots);
    }

    /// See [`BudgetManager::acknowledge`].
    pub fn acknowledge(&self, number: u64, end: Option<u64>) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().acknowledge(number, end, now);
    }

    /// See [`BudgetManager::is_closed`].
    pub fn is_closed(&self) -> bool {
        self.desk.borrow().is_closed()
    }

    /// See [`BudgetManager::has_read_own_records`].
    pub fn has_read_own_records(&self) -> bool {
        self.desk.borrow().has_read_own_records()
    }

    /// See [`BudgetManager::write_snapshots`].
    pub fn write_snapshots(&self) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().write_snapshots(now);
    }

    /// See [`BudgetManager::recover`].
    pub fn recover(&self) {
        self.desk.borrow_mut().recover();
    }

    /// See [`BudgetManager::recovery`].
    pub fn recovery(&self) -> RecoveryPhase {
        self.desk.borrow().recovery()
    }

    /// See [`BudgetManager::close_unproven`].
    pub fn close_unproven(&self, ended: Option<u64>) {
        self.desk.borrow_mut().close_unproven(ended);
    }

    /// See [`BudgetManager::review`].
    pub fn review(&self, role_of: impl Fn(&BudgetName) -> BudgetRole) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().review(role_of, now);
    }

    /// See [`BudgetManager::review_waiting`].
    pub fn review_waiting(&self, role_of: impl Fn(&BudgetName) -> BudgetRole) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().review_waiting(role_of, now);
    }

    /// See [`BudgetManager::count_demand`].
    pub fn count_demand(&self, budget: &BudgetName, tokens: TokenCount) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().count_demand(budget, tokens, now);
    }

    /// See [`BudgetManager::reserve`].
    ///
    /// # Errors
    ///
    /// Fails when the tokens were not drawn, or when no line allows them.
    pub fn reserve(
        &self,
        budget: &BudgetName,
        tokens: TokenCount,
    ) -> std::result::Result<QuotaReservation, ReservationError> {
        let now = self.started.elapsed();
        self.desk.borrow_mut().reserve(budget, tokens, now)
    }

    /// See [`BudgetManager::settle`].
    pub fn settle(&self, budget: &BudgetName, hold: QuotaReservation, charge: TokenCount) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().settle(budget, hold, charge, now);
    }

    /// See [`BudgetManager::refusal`].
    pub fn refusal(&self, budget: &BudgetName, tokens: TokenCount) -> Option<TokenRefusal> {
        let now = self.started.elapsed();
        self.desk.borrow().refusal(budget, tokens, now)
    }

    /// See [`BudgetManager::begin_shutdown`].
    pub fn begin_shutdown(&self) {
        self.desk.borrow_mut().begin_shutdown();
    }

    /// See [`BudgetManager::is_acknowledged`].
    pub fn is_acknowledged(&self) -> bool {
        self.desk.borrow().is_acknowledged()
    }

    /// See [`BudgetManager::return_all_tokens`].
    pub fn return_all_tokens(&self) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().return_all_tokens(now);
    }

    /// See [`BudgetManager::refund`].
    pub fn refund(&self, budget: &BudgetName, tokens: TokenCount) {
        self.desk.borrow_mut().refund(budget, tokens);
    }

    /// See [`BudgetManager::add_given`].
    pub fn add_given(&self, budget: &BudgetName, tokens: TokenCount) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().add_given(budget, tokens, now);
    }

    /// See [`BudgetManager::transfer`].
    pub fn transfer(&self, budget: &BudgetName, hold: QuotaReservation) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().transfer(budget, hold, now);
    }

    /// See [`BudgetManager::given`].
    pub fn given(&self, budget: &BudgetName) -> TokenCount {
        self.desk.borrow().given(budget)
    }

    /// See [`BudgetManager::take_idle_given`].
    pub fn take_idle_given(&self, rest: Duration) -> Vec<(BudgetName, TokenCount)> {
        let now = self.started.elapsed();
        self.desk.borrow_mut().take_idle_given(rest, now)
    }

    /// See [`BudgetManager::token_sums`].
    pub fn token_sums(&self) -> (u64, u64, u64) {
        self.desk.borrow().token_sums()
    }

    /// See [`BudgetManager::free_tokens`].
    pub fn free_tokens(&self) -> u64 {
        self.desk.borrow().free_tokens()
    }

    /// See [`BudgetManager::log_shortage`].
    pub fn log_shortage(&self, id: &str, budget: &BudgetName, tokens: TokenCount) {
        let now = self.started.elapsed();
        self.desk.borrow().log_shortage(id, budget, tokens, now);
    }

    /// See [`BudgetManager::log_budgets`].
    pub fn log_budgets(&self, keeps: impl Fn(&BudgetName) -> bool) {
        self.desk.borrow().log_budgets(keeps);
    }

    /// Says that a request waits for `tokens` while the returned value lives.
    pub fn wait_for(&self, budget: &BudgetName, tokens: TokenCount) -> TokenWaiter {
        let changed = self.desk.borrow_mut().add_waiter(budget, tokens);
        TokenWaiter {
            handle: self.clone(),
            budget: budget.clone(),
            tokens,
            changed,
        }
    }
}

impl fmt::Debug for BudgetHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BudgetHandle").finish_non_exhaustive()
    }
}

/// A request that waits for tokens.
#[derive(Debug)]
pub struct TokenWaiter {
    handle: BudgetHandle,
    budget: BudgetName,
    tokens: TokenCount,
    changed: Rc<Notify>,
}

impl TokenWaiter {
    /// OnDemand until the budget changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Drop for TokenWaiter {
    fn drop(&mut self) {
        let mut desk = self.handle.desk.borrow_mut();
        desk.remove_waiter(&self.budget, self.tokens);
    }
}
