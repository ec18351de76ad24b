//! Which instances hold the budgets of a fleet, and what that costs the store.

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

/// The holders of the budget `number` of `budgets` in `fleet`.
fn holders_in(fleet: &[InstanceEntry], budgets: usize, number: usize) -> Vec<&InstanceEntry> {
    let groups = holders::group_count(budgets);
    let group = holders::group_of(&budget(number), groups);
    holders::holders_of(group, groups, fleet.iter())
}

/// Guards against a small fleet that pays a question for each request.
#[test]
fn a_small_fleet_holds_every_budget_everywhere() {
    let fleet = fleet(7);
    for number in 0..BUDGETS {
        let holders = holders_in(&fleet, BUDGETS, number);
        assert_eq!(holders.len(), fleet.len());
    }
}

/// The size to design for: 810 instances and 130,000 budgets.
#[test]
fn an_instance_asks_a_bounded_number_of_others_however_many_budgets_there_are() {
    let fleet = fleet(810);
    for asker in fleet.iter().step_by(200) {
        let mut asked = BTreeSet::new();
        for number in 0..200 {
            let mut holders = holders_in(&fleet, 130_000, number);
            holders::order_for(asker, &mut holders);
            asked.insert(holders[0].name.clone());
        }
        assert!(asked.len() <= 16, "{}", asked.len());
    }
}

/// Guards against one death that moves the tokens of many budgets.
#[test]
fn the_death_of_an_instance_moves_one_place_among_the_holders() {
    let before = fleet(62);
    for number in 0..BUDGETS {
        let holders = holders_in(&before, BUDGETS, number);
        let dead = holders[3].name.clone();
        let mut after = before.clone();
        after.retain(|entry| entry.name != dead);
        let kept = holders_in(&after, BUDGETS, number);
        let kept = kept.iter().filter(|entry| holders.contains(entry));
        assert_eq!(kept.count(), HOLDERS_PER_BUDGET - 1);
    }
}

/// Guards against small machines that hold budgets: after a start of all they
/// are busy with their own callers while the whole fleet asks them (issue 28).
#[test]
fn large_machines_hold_and_each_data_centre_has_one_if_it_has_any() {
    let mut fleet = fleet(195);
    for (number, entry) in fleet.iter_mut().enumerate() {
        entry.capacity = if number < 18 { 500 } else { 120 };
    }
    let holders = holders_in(&fleet, 40, 7);
    assert_eq!(holders.len(), HOLDERS_PER_BUDGET);
    assert!(holders.iter().all(|holder| holder.capacity == 500));
    let centres: BTreeSet<_> = holders.iter().map(|holder| &holder.data_centre).collect();
    assert_eq!(centres.len(), 4);
    // With most of the large ones gone the others take part.
    fleet.drain(..12);
    let holders = holders_in(&fleet, 40, 7);
    assert_eq!(holders.len(), HOLDERS_PER_BUDGET);
    // With many groups the large ones alone would hold too much.
    let groups = holders::group_count(130_000);
    let mut all = BTreeSet::new();
    for group in 0..groups {
        for holder in holders::holders_of(group, groups, fleet.iter()) {
            all.insert(holder.name.clone());
        }
    }
    assert!(all.len() > 64, "{}", all.len());
}

/// Guards against a start of all at which each instance asks many others, each
/// over a new connection (issue 28).
#[test]
fn an_instance_asks_one_other_first_for_all_budgets_of_a_deployment() {
    let fleet = fleet(195);
    for asker in fleet.iter().step_by(20) {
        let mut asked = BTreeSet::new();
        for number in 0..40 {
            let mut holders = holders_in(&fleet, 40, number);
            holders.retain(|holder| holder.name != asker.name);
            holders::order_for(asker, &mut holders);
            asked.insert(holders[0].name.clone());
        }
        assert_eq!(asked.len(), 1);
    }
}

/// Guards against a wait at a silent holder for each request: one question a
/// second finds out whether it answers again (issue 28).
#[test]
fn a_silent_holder_is_asked_by_one_request_a_second() {
    let addresses: Vec<SocketAddr> = fleet(3).iter().map(|entry| entry.peers).collect();
    let mut refusals = HolderFailures::default();
    refusals.note_no_response(addresses[0], Duration::ZERO);
    let mut asked = Vec::new();
    for tick in 0..300 {
        let now = Duration::from_millis(tick * 10);
        let mut holders = addresses.clone();
        refusals.choose(&budget(1), &mut holders, now);
        if holders.contains(&addresses[0]) {
            asked.push(tick * 10);
        }
    }
    assert_eq!(asked, [1_000, 2_000]);
    refusals.note_response(addresses[0], Duration::from_secs(3));
    let mut holders = addresses.clone();
    refusals.choose(&budget(1), &mut holders, Duration::from_secs(3));
    assert_eq!(holders, addresses);
}

/// Guards against holders that are left out since the store is slow, and with
/// them the budgets' tokens.
#[test]
fn a_holder_that_answers_others_slowly_is_asked_last_and_not_left_out() {
    let addresses: Vec<SocketAddr> = fleet(3).iter().map(|entry| entry.peers).collect();
    let mut refusals = HolderFailures::default();
    let now = Duration::from_secs(5);
    refusals.note_response(addresses[0], now - Duration::from_millis(500));
    refusals.note_late_response(&budget(1), addresses[0], now);
    refusals.note_late_response(&budget(1), addresses[1], now);
    let mut holders = addresses.clone();
    refusals.choose(&budget(1), &mut holders, now);
    assert_eq!(holders, [addresses[2], addresses[0]]);
}

/// Guards against requests that are refused since the nearest holders are
/// without the store, while others have tokens (issue 17).
#[test]
fn a_holder_that_had_no_tokens_is_asked_after_the_others_for_a_while() {
    let addresses: Vec<SocketAddr> = fleet(4).iter().map(|entry| entry.peers).collect();
    let mut refusals = HolderFailures::default();
    let begun = Duration::from_secs(10);
    refusals.note(&budget(1), addresses[0], begun);
    let sorted = |number: usize, now: Duration| {
        let mut holders = addresses.clone();
        refusals.sort(&budget(number), &mut holders, now);
        holders
    };
    let rotated = [addresses[1], addresses[2], addresses[3], addresses[0]];
    assert_eq!(sorted(1, begun + Duration::from_millis(500)), rotated);
    assert_eq!(sorted(2, begun), addresses);
    assert_eq!(sorted(1, begun + Duration::from_secs(2)), addresses);
}

/// The desks of a fleet that share one store.
struct DeskFleet {
    desks: Vec<(InstanceEntry, BudgetManager, Receiver<AccountBatch>)>,
    fold: AccountFold,
    /// Draws and reports; totals are written once a configuration.
    records: usize,
}

impl DeskFleet {
    fn start(size: usize) -> Self {
        let mut desks = Vec::new();
        for entry in fleet(size) {
            let (outbox, batches) = mpsc::sync_channel(16);
            let clock = MachineClock::of_this_boot();
            let mut desk = BudgetManager::new(entry.incarnation, entry.name.clone(), clock, outbox);
            desk.set_totals(&config(BUDGETS, PREPAID));
            desk.recover();
            desks.push((entry, desk, batches));
        }
        Self {
            desks,
            fold: AccountFold::default(),
            records: 0,
        }
    }

    /// All instances review, and the store takes what they send.
    fn step(&mut self, now: Duration) {
        let entries: Vec<InstanceEntry> = self
            .desks
            .iter()
            .map(|(entry, _desk, _batches)| entry.clone())
            .collect();
        let mut sent = Vec::new();
        for (entry, desk, batches) in &mut self.desks {
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
                    writes_snapshots: holders[0].name == entry.name,
                }
            };
            desk.review(role_of, now);
            for batch in batches.try_iter() {
                desk.acknowledge(batch.number, None, now);
                sent.push(batch.records);
            }
        }
        for records in sent {
            let offset = self.fold.next_offset();
            let totals = |record: &&AccountRecord| matches!(record, AccountRecord::Prepaid { .. });
            self.records += records.len() - records.iter().filter(totals).count();
            self.fold.apply(offset, &records);
            let record = codec::encode(&records).expect("records are encoded");
            for (_entry, desk, _batches) in &mut self.desks {
                desk.apply(offset, &record, now);
            }
        }
    }
}

/// Guards against accounts that grow with the fleet times the budgets: 62
/// instances appended some 750 records a second and held tokens too thin to
/// serve a request (issue 17).
#[test]
fn the_accounts_of_a_large_fleet_do_not_grow_with_its_instances() {
    let mut fleet = DeskFleet::start(62);
    for tick in 0..6 {
        fleet.step(Duration::from_millis(tick * 250));
    }
    let accounts = fleet.fold.budgets().values();
    let accounts: usize = accounts.map(|account| account.holders.len()).sum();
    assert_eq!(accounts, BUDGETS * HOLDERS_PER_BUDGET);
    // A draw and two lines an account.
    let most = accounts * 3;
    assert!(fleet.records <= most, "{} of {most}", fleet.records);
    // Each holder has enough for the largest request of the deployments.
    for account in fleet.fold.budgets().values() {
        for held in account.holders.values() {
            assert!(held.unreported() >= TokenCount::new(30_000), "{held:?}");
        }
    }
}
