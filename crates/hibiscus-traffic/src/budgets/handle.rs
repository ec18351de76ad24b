//! Shared access to the [`BudgetManager`] for the tasks of the traffic thread.

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
use hibiscus_types::StoreEra;
use hibiscus_types::TokenCount;
use tokio::sync::Notify;

use crate::budgets::BudgetManager;
use crate::budgets::BudgetRole;
use crate::budgets::RecoveryPhase;
use crate::budgets::StreamPosition;
use crate::budgets::TokenRefusal;
use crate::model::FleetConfig;
use crate::tally::WorkTally;

/// Shared access to the budgets for the tasks of the traffic thread.
#[derive(Clone)]
pub struct BudgetHandle {
    manager: Rc<RefCell<BudgetManager>>,
    started: Instant,
}

impl BudgetHandle {
    /// Creates a handle for `manager`.
    pub fn new(manager: BudgetManager) -> Self {
        Self {
            manager: Rc::new(RefCell::new(manager)),
            started: Instant::now(),
        }
    }

    /// See [`BudgetManager::tally`].
    pub fn tally(&self) -> Rc<WorkTally> {
        Rc::clone(self.manager.borrow().tally())
    }

    /// Records that the stream ends at `end`, with its oldest record at `first`.
    pub fn set_stream_range(&self, first: u64, end: StreamPosition) {
        let now = self.started.elapsed();
        let mut manager = self.manager.borrow_mut();
        manager.set_stream_first(first);
        manager.set_stream_end(end, now);
    }

    /// See [`BudgetManager::set_complete_era`].
    pub fn set_complete_era(&self, recorded: Option<StoreEra>, current: StoreEra) {
        let mut manager = self.manager.borrow_mut();
        manager.set_complete_era(recorded, current);
    }

    /// See [`BudgetManager::has_all_draws`].
    pub fn has_all_draws(&self) -> bool {
        self.manager.borrow().has_all_draws()
    }

    /// See [`BudgetManager::must_return_again`].
    pub fn must_return_again(&self) -> bool {
        self.manager.borrow().must_return_again()
    }

    /// See [`BudgetManager::is_restoring`].
    pub fn is_restoring(&self) -> bool {
        self.manager.borrow().is_restoring()
    }

    /// See [`BudgetManager::note_closes_dropped`].
    pub fn note_closes_dropped(&self) {
        self.manager.borrow_mut().note_closes_dropped();
    }

    /// See [`BudgetManager::unread_records`].
    pub fn unread_records(&self) -> u64 {
        self.manager.borrow().unread_records()
    }

    /// See [`BudgetManager::account_count`].
    pub fn account_count(&self) -> usize {
        self.manager.borrow().account_count()
    }

    /// See [`BudgetManager::set_totals`].
    pub fn set_totals(&self, config: &FleetConfig) {
        self.manager.borrow_mut().set_totals(config);
    }

    /// See [`BudgetManager::set_start_time`].
    pub fn set_start_time(&self) {
        self.manager.borrow_mut().set_start_time();
    }

    /// See [`BudgetManager::process_start`].
    pub fn process_start(&self) -> (IncarnationId, MachineTime, Duration) {
        self.manager.borrow().process_start()
    }

    /// See [`BudgetManager::machines_with_ended_processes`].
    pub fn machines_with_ended_processes(
        &self,
        present: impl Fn(&InstanceName) -> Option<IncarnationId>,
    ) -> BTreeSet<InstanceName> {
        self.manager.borrow().machines_with_ended_processes(present)
    }

    /// See [`BudgetManager::close_machine_accounts`].
    pub fn close_machine_accounts(
        &self,
        machine: &InstanceName,
        present: IncarnationId,
        began: MachineTime,
    ) -> usize {
        let mut manager = self.manager.borrow_mut();
        manager.close_machine_accounts(machine, present, began)
    }

    /// See [`BudgetManager::close_machine_accounts_by_agreement`].
    pub fn close_machine_accounts_by_agreement(
        &self,
        machine: &InstanceName,
        present: IncarnationId,
        ended: Option<u64>,
    ) {
        let mut manager = self.manager.borrow_mut();
        manager.close_machine_accounts_by_agreement(machine, present, ended);
    }

    /// See [`BudgetManager::group_samples`].
    pub fn group_samples(&self) -> Rc<Vec<BudgetName>> {
        self.manager.borrow().group_samples()
    }

    /// See [`BudgetManager::budget_count`].
    pub fn budget_count(&self) -> usize {
        self.manager.borrow().budget_count()
    }

    /// See [`BudgetManager::has_unsettled_account`].
    pub fn has_unsettled_account(&self) -> bool {
        self.manager.borrow().has_unsettled_account()
    }

    /// See [`BudgetManager::apply`].
    pub fn apply(&self, offset: u64, record: &[u8]) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().apply(offset, record, now);
    }

    /// See [`BudgetManager::resume`].
    pub fn resume(&self, first: u64, snapshots: Vec<AccountSnapshot>) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().resume(first, snapshots, now);
    }

    /// See [`BudgetManager::lacks_history`].
    pub fn lacks_history(&self) -> bool {
        self.manager.borrow().lacks_history()
    }

    /// See [`BudgetManager::snapshots_to_request`].
    pub fn snapshots_to_request(&self) -> Vec<BudgetName> {
        let now = self.started.elapsed();
        self.manager.borrow_mut().snapshots_to_request(now)
    }

    /// See [`BudgetManager::write_requested_snapshots`].
    pub fn write_requested_snapshots(&self, budgets: &[BudgetName]) -> bool {
        let now = self.started.elapsed();
        let mut manager = self.manager.borrow_mut();
        manager.write_requested_snapshots(budgets, now)
    }

    /// See [`BudgetManager::acknowledge`].
    pub fn acknowledge(&self, number: u64, end: Option<StreamPosition>) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().acknowledge(number, end, now);
    }

    /// See [`BudgetManager::is_closed`].
    pub fn is_closed(&self) -> bool {
        self.manager.borrow().is_closed()
    }

    /// See [`BudgetManager::has_read_own_records`].
    pub fn has_read_own_records(&self) -> bool {
        self.manager.borrow().has_read_own_records()
    }

    /// See [`BudgetManager::write_snapshots`].
    pub fn write_snapshots(&self) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().write_snapshots(now);
    }

    /// See [`BudgetManager::begin_restore`].
    pub fn begin_restore(&self, era: StoreEra) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().begin_restore(era, now);
    }

    /// See [`BudgetManager::note_reading_paused`].
    pub fn note_reading_paused(&self) {
        self.manager.borrow_mut().note_reading_paused();
    }

    /// See [`BudgetManager::note_caught_up`].
    pub fn note_caught_up(&self) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().note_caught_up(now);
    }

    /// See [`BudgetManager::recover`].
    pub fn recover(&self) {
        self.manager.borrow_mut().recover();
    }

    /// See [`BudgetManager::recovery`].
    pub fn recovery(&self) -> RecoveryPhase {
        self.manager.borrow().recovery()
    }

    /// See [`BudgetManager::close_unproven`].
    pub fn close_unproven(&self, ended: Option<u64>) {
        self.manager.borrow_mut().close_unproven(ended);
    }

    /// See [`BudgetManager::review`].
    pub fn review(&self, role_of: impl Fn(&BudgetName) -> BudgetRole) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().review(role_of, now);
    }

    /// See [`BudgetManager::review_waiting`].
    pub fn review_waiting(&self, role_of: impl Fn(&BudgetName) -> BudgetRole) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().review_waiting(role_of, now);
    }

    /// See [`BudgetManager::count_demand`].
    pub fn count_demand(&self, budget: &BudgetName, tokens: TokenCount) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().count_demand(budget, tokens, now);
    }

    /// See [`BudgetManager::reserve`].
    ///
    /// # Errors
    ///
    /// Fails if the tokens were not drawn, or if no spending limit allows them.
    pub fn reserve(
        &self,
        budget: &BudgetName,
        tokens: TokenCount,
    ) -> std::result::Result<QuotaReservation, ReservationError> {
        let now = self.started.elapsed();
        self.manager.borrow_mut().reserve(budget, tokens, now)
    }

    /// See [`BudgetManager::tokens_to_request`].
    pub fn tokens_to_request(&self, budget: &BudgetName, missing: TokenCount) -> TokenCount {
        let now = self.started.elapsed();
        let mut manager = self.manager.borrow_mut();
        manager.tokens_to_request(budget, missing, now)
    }

    /// See [`BudgetManager::pause_ahead`].
    pub fn pause_ahead(&self, budget: &BudgetName) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().pause_ahead(budget, now);
    }

    /// See [`BudgetManager::reserve_part`].
    pub fn reserve_part(
        &self,
        budget: &BudgetName,
        tokens: TokenCount,
    ) -> Option<QuotaReservation> {
        let now = self.started.elapsed();
        self.manager.borrow_mut().reserve_part(budget, tokens, now)
    }

    /// See [`BudgetManager::settle`].
    pub fn settle(&self, budget: &BudgetName, reservation: QuotaReservation, charge: TokenCount) {
        let now = self.started.elapsed();
        self.manager
            .borrow_mut()
            .settle(budget, reservation, charge, now);
    }

    /// See [`BudgetManager::refusal`].
    pub fn refusal(&self, budget: &BudgetName, tokens: TokenCount) -> Option<TokenRefusal> {
        let now = self.started.elapsed();
        self.manager.borrow().refusal(budget, tokens, now)
    }

    /// See [`BudgetManager::begin_shutdown`].
    pub fn begin_shutdown(&self) {
        self.manager.borrow_mut().begin_shutdown();
    }

    /// See [`BudgetManager::is_acknowledged`].
    pub fn is_acknowledged(&self) -> bool {
        self.manager.borrow().is_acknowledged()
    }

    /// See [`BudgetManager::return_all_tokens`].
    pub fn return_all_tokens(&self) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().return_all_tokens(now);
    }

    /// See [`BudgetManager::refund`].
    pub fn refund(&self, budget: &BudgetName, tokens: TokenCount) {
        self.manager.borrow_mut().refund(budget, tokens);
    }

    /// See [`BudgetManager::add_received`].
    pub fn add_received(&self, budget: &BudgetName, tokens: TokenCount) {
        let now = self.started.elapsed();
        self.manager.borrow_mut().add_received(budget, tokens, now);
    }

    /// See [`BudgetManager::transfer`].
    pub fn transfer(&self, budget: &BudgetName, reservation: QuotaReservation, is_visible: bool) {
        let now = self.started.elapsed();
        let mut manager = self.manager.borrow_mut();
        manager.transfer(budget, reservation, is_visible, now);
    }

    /// See [`BudgetManager::take_transferred`].
    pub fn take_transferred(&self, budget: &BudgetName, tokens: TokenCount, is_holder: bool) {
        let now = self.started.elapsed();
        let mut manager = self.manager.borrow_mut();
        manager.take_transferred(budget, tokens, is_holder, now);
    }

    /// See [`BudgetManager::received`].
    pub fn received(&self, budget: &BudgetName) -> TokenCount {
        self.manager.borrow().received(budget)
    }

    /// See [`BudgetManager::take_idle_received`].
    pub fn take_idle_received(&self, idle_time: Duration) -> Vec<(BudgetName, TokenCount)> {
        let now = self.started.elapsed();
        self.manager.borrow_mut().take_idle_received(idle_time, now)
    }

    /// See [`BudgetManager::token_sums`].
    pub fn token_sums(&self) -> (u64, u64, u64) {
        self.manager.borrow().token_sums()
    }

    /// See [`BudgetManager::free_tokens`].
    pub fn free_tokens(&self) -> u64 {
        self.manager.borrow().free_tokens()
    }

    /// See [`BudgetManager::log_shortage`].
    pub fn log_shortage(&self, id: &str, budget: &BudgetName, tokens: TokenCount) {
        let now = self.started.elapsed();
        self.manager.borrow().log_shortage(id, budget, tokens, now);
    }

    /// See [`BudgetManager::log_budgets`].
    pub fn log_budgets(&self, selects: impl Fn(&BudgetName) -> bool) {
        self.manager.borrow().log_budgets(selects);
    }

    /// Registers a request that waits for `tokens`, until the returned value is
    /// dropped.
    pub fn wait_for(&self, budget: &BudgetName, tokens: TokenCount) -> TokenWaiter {
        let changed = self.manager.borrow_mut().add_waiter(budget, tokens);
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

/// Registration of a request that waits for tokens.
#[derive(Debug)]
pub struct TokenWaiter {
    handle: BudgetHandle,
    budget: BudgetName,
    tokens: TokenCount,
    changed: Rc<Notify>,
}

impl TokenWaiter {
    /// Waits until the budget changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Drop for TokenWaiter {
    fn drop(&mut self) {
        let mut manager = self.handle.manager.borrow_mut();
        manager.remove_waiter(&self.budget, self.tokens);
    }
}
