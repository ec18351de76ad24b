//! Exhaustive search of a small deployment over the real fold, holder and
//! witness code: a budget of 2 tokens granted to one holder, two requests of 1
//! token, two witnesses. Messages and acknowledgements are lost, the holder
//! stops between its check and its dispatch or dies, witnesses die, and a
//! second holder spends at once whatever the ledger calls free.

mod common;

use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use common::batch;
use common::budget;
use common::credit;
use common::grant;
use common::open;
use common::process;
use common::settle;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::holder::HeldAllowance;
use hibiscus_ledger::record::GrantRelease;
use hibiscus_ledger::record::GrantSeal;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::witness::WitnessAnswer;
use hibiscus_ledger::witness::WitnessBuffer;
use hibiscus_types::GrantId;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;

/// Tokens credited.
const BUDGET: u64 = 2;
/// The process numbers of holder, second holder and broker.
const HOLDER: u128 = 1;
const SECOND: u128 = 2;
const BROKER: u128 = 3;
/// The process numbers of the witnesses.
const WITNESSES: [u128; 2] = [11, 12];
/// States after which a search that should end is given up.
const STATE_LIMIT: usize = 400_000;

/// Overspent states after which a search ends.
const ENOUGH: usize = 1_000;

/// When the driver frees the grant of a holder that it believes dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReclaimRule {
    /// Only the fold does, after the promise of every witness.
    EveryWitness,
    /// The driver releases it after the promise of one witness.
    AnyWitness,
    /// The driver releases it at any time after the proposal.
    TimeOut,
}

/// One request at the holder. A lost message is one that is never delivered,
/// and a dead process one that takes no further step: the search forces none.
#[derive(Clone, Debug, Default, Hash)]
struct RequestState {
    grant: Option<GrantId>,
    opens: [bool; 2],
    acknowledged: [bool; 2],
    dispatched: bool,
    settles: [bool; 2],
}

/// The whole deployment.
#[derive(Clone, Debug)]
struct SearchState {
    fold: LedgerFold,
    held: HeldAllowance,
    requests: [RequestState; 2],
    witnesses: [WitnessBuffer; 2],
    sequences: [u64; 2],
    seals: [bool; 2],
    sealing: bool,
    released: bool,
    second_spent: u64,
    proposals: u64,
}

/// What a search found.
#[derive(Debug, Default)]
struct SearchResult {
    states: usize,
    overspent: usize,
    reclaimed: usize,
    charged: usize,
}

fn first_grant() -> GrantId {
    GrantId::from_u128(1)
}

impl SearchState {
    fn start() -> Self {
        let mut fold = LedgerFold::default();
        let given = grant(1, HOLDER, BUDGET, &WITNESSES);
        let records = vec![credit("top-up", BUDGET), LedgerRecord::Grant(given.clone())];
        fold.apply(0, &batch(BROKER, 1, records));
        let mut held = HeldAllowance::default();
        held.add(given);
        Self {
            fold,
            held,
            requests: Default::default(),
            witnesses: WITNESSES.map(|number| WitnessBuffer::new(process(number))),
            sequences: [0; 2],
            seals: [false; 2],
            sealing: false,
            released: false,
            second_spent: 0,
            proposals: 1,
        }
    }

    /// What the budget's servers have truly run.
    fn spent(&self) -> u64 {
        let ran = self.requests.iter().filter(|request| request.dispatched);
        ran.count() as u64 + self.second_spent
    }

    fn append(&mut self, batch: &RecordBatch) {
        self.fold.apply(self.fold.next_offset(), batch);
    }

    fn propose(&mut self, record: LedgerRecord) {
        self.proposals += 1;
        self.append(&batch(BROKER, self.proposals, vec![record]));
    }

    /// All states that one step leads to.
    fn successors(&self, rule: ReclaimRule) -> Vec<Self> {
        let mut next = Vec::new();
        for request in 0..2 {
            self.holder_steps(request, &mut next);
            for witness in 0..2 {
                self.message_steps(request, witness, &mut next);
            }
        }
        self.ledger_steps(rule, &mut next);
        next
    }

    /// The holder reserves, and may dispatch at any time after an
    /// acknowledgement: it was stopped between its check and its dispatch.
    fn holder_steps(&self, index: usize, next: &mut Vec<Self>) {
        let request = &self.requests[index];
        if request.grant.is_none() {
            let mut state = self.clone();
            let reservation = state.held.reserve(&budget(), TokenCount::new(1));
            if let Some(reservation) = reservation {
                state.requests[index].grant = Some(reservation.grant);
                next.push(state);
            }
        }
        if request.acknowledged.contains(&true) && !request.dispatched {
            let mut state = self.clone();
            state.requests[index].dispatched = true;
            next.push(state);
        }
    }

    /// A witness receives the open or the settlement of a request.
    fn message_steps(&self, index: usize, witness: usize, next: &mut Vec<Self>) {
        let request = &self.requests[index];
        let Some(grant) = request.grant else {
            return;
        };
        let record = open(index as u64, grant, 1);
        let address = process(WITNESSES[witness]);
        if !request.opens[witness] {
            let mut state = self.clone();
            let answer = state.witnesses[witness].open(address, &record);
            state.requests[index].opens[witness] = true;
            state.requests[index].acknowledged[witness] = answer == WitnessAnswer::Acknowledged;
            next.push(state);
        }
        let settles = request.dispatched && request.acknowledged[witness];
        if settles && !request.settles[witness] {
            let mut state = self.clone();
            state.witnesses[witness].settle(address, &settle(&record, 1));
            state.requests[index].settles[witness] = true;
            next.push(state);
        }
    }

    fn ledger_steps(&self, rule: ReclaimRule, next: &mut Vec<Self>) {
        for (witness, number) in WITNESSES.into_iter().enumerate() {
            if self.sealing && !self.seals[witness] {
                let mut state = self.clone();
                state.seals[witness] = true;
                state.witnesses[witness].seal(process(number), first_grant());
                next.push(state);
            }
            let mut state = self.clone();
            let records = state.witnesses[witness].take(usize::MAX);
            if records.is_empty() {
                continue;
            }
            state.sequences[witness] += 1;
            let sequence = state.sequences[witness];
            state.append(&batch(number, sequence, records));
            next.push(state);
        }
        if !self.sealing {
            let mut state = self.clone();
            state.sealing = true;
            let seal = GrantSeal {
                grant: first_grant(),
            };
            state.propose(LedgerRecord::Seal(seal));
            next.push(state);
        }
        let sealed = self.fold.grants()[&first_grant()].sealed.len();
        let frees = match rule {
            ReclaimRule::EveryWitness => false,
            ReclaimRule::AnyWitness => sealed > 0,
            ReclaimRule::TimeOut => self.sealing,
        };
        if frees && !self.released {
            let mut state = self.clone();
            state.released = true;
            let release = GrantRelease {
                grant: first_grant(),
            };
            state.propose(LedgerRecord::Release(release));
            next.push(state);
        }
        let free = self.fold.budgets()[&budget()].free().get();
        if free > 0 {
            let mut state = self.clone();
            let id = 2 + u128::from(self.second_spent);
            state.propose(LedgerRecord::Grant(grant(id, SECOND, free, &WITNESSES)));
            state.second_spent += free;
            next.push(state);
        }
    }

    /// What makes two states the same: the offsets do not.
    fn identity(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.requests.hash(&mut hasher);
        self.seals.hash(&mut hasher);
        (self.sealing, self.released, self.second_spent).hash(&mut hasher);
        for witness in &self.witnesses {
            let mut witness = witness.clone();
            let pending = codec::encode(&witness.take(usize::MAX)).expect("records encode");
            pending.hash(&mut hasher);
        }
        for grant in self.fold.grants().values() {
            let tokens = (grant.outstanding, grant.charged);
            (tokens, &grant.sealed, grant.reclaimed).hash(&mut hasher);
        }
        for state in self.fold.all_open() {
            state.open.key.hash(&mut hasher);
        }
        for number in 0..2 {
            let charged = self.fold.settlement(&common::key(number)).is_some();
            charged.hash(&mut hasher);
        }
        hasher.finish()
    }
}

fn search(rule: ReclaimRule) -> SearchResult {
    let start = SearchState::start();
    let mut seen = HashSet::from([start.identity()]);
    let mut queue = VecDeque::from([start]);
    let mut result = SearchResult::default();
    while let Some(state) = queue.pop_front() {
        result.states += 1;
        assert!(result.states < STATE_LIMIT, "the search does not end");
        assert!(state.fold.overspent().is_empty(), "{state:?}");
        let first = &state.fold.grants()[&first_grant()];
        result.reclaimed += usize::from(first.reclaimed);
        result.charged += usize::from(!first.charged.is_zero());
        if state.spent() > BUDGET {
            result.overspent += 1;
            if result.overspent >= ENOUGH {
                break;
            }
            continue;
        }
        for next in state.successors(rule) {
            if seen.insert(next.identity()) {
                queue.push_back(next);
            }
        }
    }
    eprintln!("{rule:?}: {result:?}");
    result
}

#[test]
fn reclaim_after_every_witness_promised_never_overspends() {
    let result = search(ReclaimRule::EveryWitness);
    assert_eq!(result.overspent, 0);
    assert!(result.reclaimed > 0, "no state reclaimed the grant");
    assert!(result.charged > 0, "no state charged a request");
}

#[test]
fn reclaim_after_any_one_witness_promised_is_found_to_overspend() {
    let result = search(ReclaimRule::AnyWitness);
    assert!(result.overspent > 0);
}

#[test]
fn reclaim_by_time_out_is_found_to_overspend() {
    let result = search(ReclaimRule::TimeOut);
    assert!(result.overspent > 0);
}
