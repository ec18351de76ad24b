//! Selection of the holders of budgets, and its cost for the store.

mod fixtures;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::policy::DrawMode;
use hibiscus_traffic::budgets::AccountBatch;
use hibiscus_traffic::budgets::BudgetManager;
use hibiscus_traffic::budgets::BudgetRole;
use hibiscus_traffic::clock::MachineClock;
use hibiscus_traffic::holders;
use hibiscus_traffic::holders::HOLDERS_PER_BUDGET;
use hibiscus_traffic::holders::HolderFailures;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;

use crate::fixtures::budget;
use crate::fixtures::config;
use crate::fixtures::instance;

const BUDGETS: usize = 24;
const PREPAID: u64 = 4_000_000;

fn fleet(size: usize) -> Vec<InstanceEntry> {
    (0..size).map(instance).collect()
}

/// The holders of the budget `number` out of `budgets` in `fleet`.
fn holders_in(fleet: &[InstanceEntry], budgets: usize, number: usize) -> Vec<&InstanceEntry> {
    let groups = holders::group_count(budgets);
    let group = holders::group_of(&budget(number), groups);
    holders::holders_of(group, groups, fleet.iter())
}

/// Guards against a small fleet in which each request costs a peer request.
#[test]
fn every_instance_of_a_small_fleet_holds_every_budget() {
    let fleet = fleet(7);
    for number in 0..BUDGETS {
        let holders = holders_in(&fleet, BUDGETS, number);
        assert_eq!(holders.len(), fleet.len());
    }
}

/// Checks the designed size: 810 instances and 130,000 budgets.
#[test]
fn an_instance_contacts_a_bounded_number_of_holders_for_any_number_of_budgets() {
    let fleet = fleet(810);
    for requester in fleet.iter().step_by(200) {
        let mut requested = BTreeSet::new();
        for number in 0..200 {
            let mut holders = holders_in(&fleet, 130_000, number);
            holders::order_for(requester, &mut holders);
            requested.insert(holders[0].name.clone());
        }
        assert!(requested.len() <= 16, "{}", requested.len());
    }
}

/// Guards against a crash that moves the tokens of many budgets.
#[test]
fn the_crash_of_a_holder_replaces_only_that_holder() {
    let before = fleet(62);
    for number in 0..BUDGETS {
        let holders = holders_in(&before, BUDGETS, number);
        let crashed = holders[3].name.clone();
        let mut after = before.clone();
        after.retain(|entry| entry.name != crashed);
        let kept = holders_in(&after, BUDGETS, number);
        let kept = kept.iter().filter(|entry| holders.contains(entry));
        assert_eq!(kept.count(), HOLDERS_PER_BUDGET - 1);
    }
}

/// Guards against small machines as holders: after a start of the whole fleet
/// they are busy with their own callers while all instances request tokens from
/// them (issue 28).
#[test]
fn holders_are_large_machines_spread_over_the_data_centres() {
    let mut fleet = fleet(195);
    for (number, entry) in fleet.iter_mut().enumerate() {
        entry.capacity = if number < 18 { 500 } else { 120 };
    }
    let holders = holders_in(&fleet, 40, 7);
    assert_eq!(holders.len(), HOLDERS_PER_BUDGET);
    assert!(holders.iter().all(|holder| holder.capacity == 500));
    let centres: BTreeSet<_> = holders.iter().map(|holder| &holder.data_centre).collect();
    assert_eq!(centres.len(), 4);
    // If most large machines are gone, smaller ones become holders.
    fleet.drain(..12);
    let holders = holders_in(&fleet, 40, 7);
    assert_eq!(holders.len(), HOLDERS_PER_BUDGET);
    // With many groups, large machines alone would hold too many budgets.
    let groups = holders::group_count(130_000);
    let mut all = BTreeSet::new();
    for group in 0..groups {
        for holder in holders::holders_of(group, groups, fleet.iter()) {
            all.insert(holder.name.clone());
        }
    }
    assert!(all.len() > 64, "{}", all.len());
}

/// Guards against a start of the whole fleet at which each instance contacts
/// many others, each over a new connection (issue 28).
#[test]
fn an_instance_prefers_one_holder_for_all_budgets_of_a_deployment() {
    let fleet = fleet(195);
    for requester in fleet.iter().step_by(20) {
        let mut requested = BTreeSet::new();
        for number in 0..40 {
            let mut holders = holders_in(&fleet, 40, number);
            holders.retain(|holder| holder.name != requester.name);
            holders::order_for(requester, &mut holders);
            requested.insert(holders[0].name.clone());
        }
        assert_eq!(requested.len(), 1);
    }
}

/// Guards against requests that each wait for an unresponsive holder: one
/// request per second checks whether it responds again (issue 28).
#[test]
fn an_unresponsive_holder_gets_one_request_per_second() {
    let addresses: Vec<SocketAddr> = fleet(3).iter().map(|entry| entry.peers).collect();
    let mut failures = HolderFailures::default();
    failures.note_no_response(addresses[0], Duration::ZERO);
    let mut requested = Vec::new();
    for tick in 0..300 {
        let now = Duration::from_millis(tick * 10);
        let mut holders = addresses.clone();
        failures.choose(&budget(1), &mut holders, now);
        if holders.contains(&addresses[0]) {
            requested.push(tick * 10);
        }
    }
    assert_eq!(requested, [1_000, 2_000]);
    failures.note_response(addresses[0], Duration::from_secs(3));
    let mut holders = addresses.clone();
    failures.choose(&budget(1), &mut holders, Duration::from_secs(3));
    assert_eq!(holders, addresses);
}

/// Guards against skipping holders, and with them the budgets' tokens, because
/// the store is slow.
#[test]
fn a_slow_holder_that_recently_responded_comes_last_and_is_not_skipped() {
    let addresses: Vec<SocketAddr> = fleet(3).iter().map(|entry| entry.peers).collect();
    let mut failures = HolderFailures::default();
    let now = Duration::from_secs(5);
    failures.note_response(addresses[0], now - Duration::from_millis(500));
    failures.note_late_response(&budget(1), addresses[0], now);
    failures.note_late_response(&budget(1), addresses[1], now);
    let mut holders = addresses.clone();
    failures.choose(&budget(1), &mut holders, now);
    assert_eq!(holders, [addresses[2], addresses[0]]);
}

/// Guards against requests that are refused because the nearest holders cannot
/// reach the store, while others have tokens (issue 17).
#[test]
fn a_holder_that_refused_comes_after_the_others_for_a_while() {
    let addresses: Vec<SocketAddr> = fleet(4).iter().map(|entry| entry.peers).collect();
    let mut failures = HolderFailures::default();
    let refused_at = Duration::from_secs(10);
    failures.note_refusal(&budget(1), addresses[0], refused_at);
    let sorted = |number: usize, now: Duration| {
        let mut holders = addresses.clone();
        failures.sort(&budget(number), &mut holders, now);
        holders
    };
    let rotated = [addresses[1], addresses[2], addresses[3], addresses[0]];
    assert_eq!(sorted(1, refused_at + Duration::from_millis(500)), rotated);
    assert_eq!(sorted(2, refused_at), addresses);
    assert_eq!(sorted(1, refused_at + Duration::from_secs(2)), addresses);
}

/// The budget managers of a fleet that share one store.
struct ManagerFleet {
    managers: Vec<(InstanceEntry, BudgetManager, Receiver<AccountBatch>)>,
    fold: AccountFold,
    /// Number of draws and reports. Totals are left out: they are written once
    /// for each configuration.
    records: usize,
}

impl ManagerFleet {
    fn start(size: usize) -> Self {
        let mut managers = Vec::new();
        for entry in fleet(size) {
            let (outbox, batches) = mpsc::sync_channel(16);
            let clock = MachineClock::of_this_boot();
            let mut manager =
                BudgetManager::new(entry.incarnation, entry.name.clone(), clock, outbox);
            manager.set_totals(&config(BUDGETS, PREPAID));
            manager.recover();
            managers.push((entry, manager, batches));
        }
        Self {
            managers,
            fold: AccountFold::default(),
            records: 0,
        }
    }

    /// Lets all instances review their budgets and appends their batches.
    fn step(&mut self, now: Duration) {
        let entries: Vec<InstanceEntry> = self
            .managers
            .iter()
            .map(|(entry, _manager, _batches)| entry.clone())
            .collect();
        let mut sent = Vec::new();
        for (entry, manager, batches) in &mut self.managers {
            let role_of = |budget: &BudgetName| {
                let groups = holders::group_count(BUDGETS);
                let group = holders::group_of(budget, groups);
                let holders = holders::holders_of(group, groups, entries.iter());
                let is_holder = holders.iter().any(|holder| holder.name == entry.name);
                BudgetRole {
                    holders: u32::try_from(holders.len()).unwrap_or(u32::MAX),
                    mode: if is_holder {
                        DrawMode::Prefetch
                    } else {
                        DrawMode::Release
                    },
                    is_first_holder: holders[0].name == entry.name,
                }
            };
            manager.review(role_of, now);
            for batch in batches.try_iter() {
                manager.acknowledge(batch.number, None, now);
                sent.push(batch.records);
            }
        }
        for records in sent {
            let offset = self.fold.next_offset();
            let totals = |record: &&AccountRecord| matches!(record, AccountRecord::Prepaid { .. });
            self.records += records.len() - records.iter().filter(totals).count();
            self.fold.apply(offset, &records);
            let record = codec::encode(&records).expect("records are encoded");
            for (_entry, manager, _batches) in &mut self.managers {
                manager.apply(offset, &record, now);
            }
        }
    }
}

/// Guards against accounts that grow with the number of instances times the
/// number of budgets: 62 instances appended about 750 records per second, and
/// tokens were spread too thin to serve a request (issue 17).
#[test]
fn the_accounts_of_a_large_fleet_do_not_grow_with_its_instances() {
    let mut fleet = ManagerFleet::start(62);
    for tick in 0..6 {
        fleet.step(Duration::from_millis(tick * 250));
    }
    let accounts = fleet.fold.budgets().values();
    let accounts: usize = accounts.map(|account| account.holders.len()).sum();
    assert_eq!(accounts, BUDGETS * HOLDERS_PER_BUDGET);
    // One draw and two limits for each account.
    let most = accounts * 3;
    assert!(fleet.records <= most, "{} of {most}", fleet.records);
    // Each holder has enough for the largest request of the deployments.
    for account in fleet.fold.budgets().values() {
        for held in account.holders.values() {
            assert!(held.unreported() >= TokenCount::new(30_000), "{held:?}");
        }
    }
}
