//! Random interleavings over the real fold, holder and witness code: two
//! brokers and their lost replies, records appended again, reordered and lost
//! messages, top-ups on both sides, splits, holders paused and woken after a
//! reclaim, holders and witnesses that die together. The seed is fixed.

#[allow(dead_code)]
mod common;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use common::batch;
use common::budget;
use common::credit;
use common::grant;
use common::open;
use common::process;
use common::settle;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::holder::HeldAllowance;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::GrantSeal;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::witness::WitnessAnswer;
use hibiscus_ledger::witness::WitnessBuffer;
use hibiscus_types::GrantId;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Interleavings tried.
const CASES: u32 = 2_000;
/// Steps of one interleaving.
const STEPS: usize = 800;
/// Tokens credited at the start.
const OPENING_CREDIT: u64 = 40;
/// Runs that a step chooses from.
const RECENT: usize = 3;
/// Holders, of which each also appends its own returns.
const HOLDERS: usize = 3;
/// Witness slots; a dead one is replaced by another incarnation.
const WITNESSES: usize = 2;
/// First process numbers of each kind.
const HOLDER_BASE: u128 = 100;
const WITNESS_BASE: u128 = 1_000;
const BROKER_BASE: u128 = 10;

/// A process that appends batches one after the other.
#[derive(Default)]
struct Appender {
    number: u128,
    sequence: u64,
    queue: VecDeque<LedgerRecord>,
    unanswered: Option<RecordBatch>,
}

impl Appender {
    fn new(number: u128) -> Self {
        Self {
            number,
            ..Self::default()
        }
    }

    /// The next batch, or the last again when its reply was lost.
    fn next_batch(&mut self, reply_lost: bool) -> Option<RecordBatch> {
        let next = match self.unanswered.take() {
            Some(batch) => batch,
            None if self.queue.is_empty() => return None,
            None => {
                self.sequence += 1;
                let records = self.queue.drain(..).collect();
                batch(self.number, self.sequence, records)
            }
        };
        if reply_lost {
            self.unanswered = Some(next.clone());
        }
        Some(next)
    }
}

/// A request somewhere between its reservation and its settlement.
struct RequestRun {
    holder: usize,
    incarnation: u128,
    reservation: TokenReservation,
    open: RequestOpen,
    acknowledged: bool,
    used: Option<u64>,
    given_up: bool,
    settled: bool,
}

/// One holder's process.
struct HolderProcess {
    number: u128,
    held: HeldAllowance,
    asked: Option<AllowanceGrant>,
    appender: Appender,
}

/// One witness's process.
struct WitnessProcess {
    number: u128,
    buffer: WitnessBuffer,
    appender: Appender,
}

/// The deployment and what is true of it beside its ledger.
struct World {
    fold: LedgerFold,
    replay: LedgerFold,
    credited: u64,
    processes: u128,
    ids: u128,
    keys: u64,
    brokers: [Appender; 2],
    holders: Vec<HolderProcess>,
    witnesses: Vec<WitnessProcess>,
    runs: Vec<RequestRun>,
    seals: Vec<(u128, GrantId)>,
    charged: BTreeMap<RequestKey, u64>,
    acknowledged: Vec<(u128, RequestKey)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            fold: LedgerFold::default(),
            replay: LedgerFold::default(),
            credited: 0,
            processes: 0,
            ids: 0,
            keys: 0,
            brokers: [Appender::new(BROKER_BASE), Appender::new(BROKER_BASE + 1)],
            holders: Vec::new(),
            witnesses: Vec::new(),
            runs: Vec::new(),
            seals: Vec::new(),
            charged: BTreeMap::new(),
            acknowledged: Vec::new(),
        };
        for _holder in 0..HOLDERS {
            let process = world.new_holder();
            world.holders.push(process);
        }
        for _witness in 0..WITNESSES {
            let process = world.new_witness();
            world.witnesses.push(process);
        }
        world.credited = OPENING_CREDIT;
        world.append(&batch(
            BROKER_BASE + 2,
            1,
            vec![credit("opening", OPENING_CREDIT)],
        ));
        world
    }

    fn new_holder(&mut self) -> HolderProcess {
        self.processes += 1;
        let number = HOLDER_BASE + self.processes;
        HolderProcess {
            number,
            held: HeldAllowance::default(),
            asked: None,
            appender: Appender::new(number),
        }
    }

    fn new_witness(&mut self) -> WitnessProcess {
        self.processes += 1;
        let number = WITNESS_BASE + self.processes;
        WitnessProcess {
            number,
            buffer: WitnessBuffer::new(process(number)),
            appender: Appender::new(number),
        }
    }

    /// Appends at the end of the log and checks what must hold there. A
    /// second reader gets every record twice.
    fn append(&mut self, batch: &RecordBatch) {
        let offset = self.fold.next_offset();
        let verdicts = self.fold.apply(offset, batch);
        self.replay.apply(offset, batch);
        self.replay.apply(offset, batch);
        assert_eq!(self.fold, self.replay, "two readers disagree");
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            let LedgerRecord::Settle(settlement) = record else {
                continue;
            };
            if settlement.end == SettledEnd::NotRun {
                continue;
            }
            let Some(kept) = self.fold.settlement(&settlement.key) else {
                continue;
            };
            let first = self.charged.insert(kept.key.clone(), kept.charge.get());
            let twice = verdict == RecordVerdict::Accepted && first.is_some();
            assert!(!twice, "{} is charged twice", settlement.key);
        }
        self.check();
    }

    /// The budget's sums, and the true use of requests with keys of their own.
    fn check(&self) {
        assert!(self.fold.overspent().is_empty());
        let Some(state) = self.fold.budgets().get(&budget()) else {
            return;
        };
        let charged: u64 = self.charged.values().sum();
        // A split's record brings the charges that waited for it.
        let adopted = self.fold.settled_count() - self.charged.len();
        assert!(adopted > 0 || state.charged.get() == charged);
        assert!(
            self.true_use() <= self.credited,
            "true use exceeds the credits"
        );
    }

    /// What servers ran: each key once, at its charge or else its largest run.
    fn true_use(&self) -> u64 {
        let mut used: BTreeMap<&RequestKey, u64> = BTreeMap::new();
        for run in &self.runs {
            let entry = used.entry(&run.open.key).or_default();
            *entry = (*entry).max(run.used.unwrap_or(0));
        }
        for (key, charge) in &self.charged {
            used.insert(key, *charge);
        }
        used.values().sum()
    }

    fn step(&mut self, action: u8, a: u8, b: u8) {
        let holder = usize::from(a) % HOLDERS;
        let lost = b.is_multiple_of(4);
        match action {
            0 => self.top_up(a, b),
            1 | 2 => self.ask(holder, u64::from(b % 20) + 1, usize::from(a) % 2),
            3..=5 => self.append_broker(usize::from(a) % 2, lost),
            6 | 7 => self.hear_verdict(holder),
            8 | 9 => self.start(holder, u64::from(b % 8) + 1, a),
            10..=13 => self.deliver_open(usize::from(a), usize::from(b) % WITNESSES, lost),
            14..=16 => self.dispatch(usize::from(a), b),
            17..=19 => self.deliver_settle(
                usize::from(a),
                usize::from(b) % WITNESSES,
                lost,
                b.is_multiple_of(7),
            ),
            20..=22 => self.append_witness(usize::from(a) % WITNESSES, lost),
            23 if b.is_multiple_of(3) => self.give_back(holder, u64::from(b % 20)),
            24 => self.append_holder(holder, lost),
            25 if b.is_multiple_of(4) => self.propose_seal(usize::from(a), usize::from(b) % 2),
            26 | 27 => self.deliver_seal(usize::from(a)),
            28 if b.is_multiple_of(3) => self.replace_holder(holder, lost),
            23 | 25 | 28 => {}
            29 => self.replace_witness(usize::from(a) % WITNESSES, lost),
            31 => self.spend_all(holder),
            32 => self.reclaim_at(usize::from(a), usize::from(b) % WITNESSES),
            _ => self.split(holder, usize::from(b) % HOLDERS, u64::from(b % 9) + 1),
        }
    }

    /// A top-up; both sides copy it, and a side may see it late.
    fn top_up(&mut self, a: u8, b: u8) {
        let id = format!("top-up-{}", a % 4);
        let tokens = u64::from(a % 4) * 5 + 5;
        let record = credit(&id, tokens);
        self.brokers[usize::from(b) % 2].queue.push_back(record);
        // A copy counts once it is in the log; until then true use is less.
        if !self.seen_credit(&id) {
            self.credited += tokens;
        }
    }

    fn seen_credit(&self, id: &str) -> bool {
        let queued = |broker: &Appender| {
            let waiting = broker.unanswered.iter().flat_map(|held| &held.records);
            let named = |record: &&LedgerRecord| matches!(record, LedgerRecord::Credit(held) if held.id.0 == id);
            waiting.chain(&broker.queue).filter(named).count()
        };
        let queued: usize = self.brokers.iter().map(queued).sum();
        let id = hibiscus_ledger::record::TopUpId(id.to_owned());
        queued > 1 || self.fold.has_credit(&id)
    }

    /// Asks for a grant; while there is no verdict it asks for the same.
    fn ask(&mut self, holder: usize, tokens: u64, broker: usize) {
        let witnesses: Vec<u128> = self.witnesses.iter().map(|held| held.number).collect();
        let process = &mut self.holders[holder];
        if process.asked.is_none() {
            self.ids += 1;
            process.asked = Some(grant(self.ids, process.number, tokens, &witnesses));
        }
        let asked = process.asked.clone().expect("a grant is asked for");
        let queue = &mut self.brokers[broker].queue;
        queue.push_back(LedgerRecord::Grant(asked));
    }

    fn append_broker(&mut self, broker: usize, lost: bool) {
        if let Some(batch) = self.brokers[broker].next_batch(lost) {
            self.append(&batch);
        }
    }

    fn append_witness(&mut self, witness: usize, lost: bool) {
        let process = &mut self.witnesses[witness];
        let records = process.buffer.take(usize::MAX);
        process.appender.queue.extend(records);
        if let Some(batch) = process.appender.next_batch(lost) {
            self.append(&batch);
        }
    }

    fn append_holder(&mut self, holder: usize, lost: bool) {
        if let Some(batch) = self.holders[holder].appender.next_batch(lost) {
            self.append(&batch);
        }
    }

    fn hear_verdict(&mut self, holder: usize) {
        let process = &mut self.holders[holder];
        let Some(asked) = process.asked.clone() else {
            return;
        };
        if !self.fold.has_decided(&asked.id) {
            return;
        }
        process.asked = None;
        if self.fold.grants().contains_key(&asked.id) {
            process.held.add(asked);
        }
    }

    fn start(&mut self, holder: usize, tokens: u64, choice: u8) {
        let process = &mut self.holders[holder];
        let reserved = process.held.reserve(&budget(), TokenCount::new(tokens));
        let Some(reservation) = reserved else {
            return;
        };
        // Some requests are sent again at another holder under their key.
        let again = choice.is_multiple_of(5) && self.keys > 0;
        let number = if again { self.keys - 1 } else { self.keys };
        self.keys = self.keys.max(number + 1);
        self.runs.push(RequestRun {
            holder,
            incarnation: process.number,
            open: open(number, reservation.grant, tokens),
            reservation,
            acknowledged: false,
            used: None,
            given_up: false,
            settled: false,
        });
    }

    /// A message to the witness that holds slot `slot` today.
    fn deliver_open(&mut self, run: usize, slot: usize, lost: bool) {
        let Some(run) = recent(&mut self.runs, run) else {
            return;
        };
        let witness = &mut self.witnesses[slot];
        let number = process(witness.number);
        if run.settled || run.given_up || !run.reservation.witnesses.contains(&number) {
            return;
        }
        let answer = witness.buffer.open(number, &run.open);
        run.acknowledged |= answer == WitnessAnswer::Acknowledged && !lost;
    }

    /// Dispatches at any time after the acknowledgement, reclaimed or not.
    fn dispatch(&mut self, run: usize, use_choice: u8) {
        let Some(run) = recent(&mut self.runs, run) else {
            return;
        };
        let lives = self.holders[run.holder].number == run.incarnation;
        if !lives || run.given_up || !run.acknowledged || run.used.is_some() || run.settled {
            return;
        }
        let most = run.reservation.tokens.get();
        run.used = Some(most - u64::from(use_choice.is_multiple_of(4) && most > 1));
        self.check();
    }

    /// Settles a run: what it used, or "not run" for one never dispatched.
    fn deliver_settle(&mut self, run: usize, slot: usize, lost: bool, gives_up: bool) {
        let Some(run) = recent(&mut self.runs, run) else {
            return;
        };
        let holder = &mut self.holders[run.holder];
        let witness = &mut self.witnesses[slot];
        let number = process(witness.number);
        let named = run.reservation.witnesses.contains(&number);
        if holder.number != run.incarnation || !named || run.settled {
            return;
        }
        // Most runs wait for their dispatch; some are given up before it.
        if run.used.is_none() && !gives_up && !run.given_up {
            return;
        }
        let mut settlement = settle(&run.open, run.used.unwrap_or(0));
        if run.used.is_none() {
            settlement.end = SettledEnd::NotRun;
            run.given_up = true;
        }
        let answer = witness.buffer.settle(number, &settlement);
        if answer != WitnessAnswer::Acknowledged || lost {
            return;
        }
        run.settled = true;
        holder.held.settle(&run.reservation, settlement.charge);
        if settlement.end == SettledEnd::Ran {
            self.acknowledged.push((witness.number, settlement.key));
        }
    }

    /// A holder takes all that is free and spends it in one request.
    fn spend_all(&mut self, holder: usize) {
        let free = self.fold.budgets()[&budget()].free().get();
        if free == 0 {
            return;
        }
        self.holders[holder].asked = None;
        self.ask(holder, free, 0);
        self.append_broker(0, false);
        self.append_broker(0, false);
        self.hear_verdict(holder);
        self.start(holder, free, 1);
        for slot in 0..WITNESSES {
            self.deliver_open(0, slot, false);
        }
        self.dispatch(0, 1);
    }

    /// A grant's reclaim gets as far as one witness's promise in the log.
    fn reclaim_at(&mut self, choice: usize, slot: usize) {
        self.propose_seal(choice, 0);
        self.append_broker(0, false);
        let number = self.witnesses[slot].number;
        let seal = self
            .seals
            .iter()
            .rposition(|(witness, _grant)| *witness == number);
        if let Some(seal) = seal {
            self.deliver_seal(seal);
        }
        self.append_witness(slot, false);
        self.append_witness(slot, false);
    }

    fn give_back(&mut self, holder: usize, kept: u64) {
        let process = &mut self.holders[holder];
        for back in process.held.take_beyond(&budget(), TokenCount::new(kept)) {
            let queue = &mut process.appender.queue;
            queue.push_back(LedgerRecord::Return(back));
        }
    }

    /// Proposes to reclaim any grant, its holder dead or only paused.
    fn propose_seal(&mut self, choice: usize, broker: usize) {
        let count = self.fold.grants().len().max(1);
        let Some(state) = self.fold.grants().values().nth(choice % count) else {
            return;
        };
        let grant = state.grant.id;
        for witness in &state.grant.witnesses {
            self.seals.push((witness.as_u128(), grant));
        }
        let record = LedgerRecord::Seal(GrantSeal { grant });
        self.brokers[broker].queue.push_back(record);
    }

    fn deliver_seal(&mut self, choice: usize) {
        let count = self.seals.len().max(1);
        let Some((number, grant)) = self.seals.get(choice % count).copied() else {
            return;
        };
        for witness in &mut self.witnesses {
            if witness.number == number {
                witness.buffer.seal(process(number), grant);
            }
        }
    }

    /// A holder dies, sometimes together with a witness.
    fn replace_holder(&mut self, holder: usize, witness_too: bool) {
        self.holders[holder] = self.new_holder();
        if witness_too {
            self.replace_witness(holder % WITNESSES, true);
        }
    }

    fn replace_witness(&mut self, witness: usize, dies: bool) {
        if !dies {
            return;
        }
        let gone = self.witnesses[witness].number;
        self.acknowledged.retain(|(number, _key)| *number != gone);
        self.witnesses[witness] = self.new_witness();
    }

    /// Passes allowance to a peer once a witness acknowledged the split.
    fn split(&mut self, from: usize, to: usize, tokens: u64) {
        self.ids += 1;
        let id = GrantId::from_u128(self.ids);
        let peer = self.holders[to].number;
        let child = |parent: &AllowanceGrant, tokens| AllowanceGrant {
            id,
            holder: process(peer),
            tokens,
            ..parent.clone()
        };
        let tokens = TokenCount::new(tokens);
        let made = self.holders[from].held.split(&budget(), tokens, child);
        let Some((split, witnesses)) = made else {
            return;
        };
        let mut answers = Vec::new();
        for witness in &mut self.witnesses {
            let number = process(witness.number);
            if witnesses.contains(&number) {
                answers.push(witness.buffer.split(number, &split));
            }
        }
        if answers.contains(&WitnessAnswer::Sealed) || answers.is_empty() {
            return;
        }
        // The peer hands the record over as well before it spends.
        let peer = &mut self.holders[to];
        peer.held.add(split.child.clone());
        peer.appender.queue.push_back(LedgerRecord::Split(split));
    }

    /// Lets every living process append what it has.
    fn recover(&mut self) {
        for broker in 0..2 {
            self.append_broker(broker, false);
            self.append_broker(broker, false);
        }
        for witness in 0..WITNESSES {
            self.append_witness(witness, false);
            self.append_witness(witness, false);
        }
        for holder in 0..HOLDERS {
            self.append_holder(holder, false);
            self.append_holder(holder, false);
        }
    }
}

/// One of the last runs, so that a step often meets a run that it concerns.
fn recent(runs: &mut [RequestRun], choice: usize) -> Option<&mut RequestRun> {
    let index = runs.len().checked_sub(choice % RECENT + 1)?;
    runs.get_mut(index)
}

#[test]
fn no_interleaving_overspends_or_charges_a_key_twice() {
    let seed = [26; 32];
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec((0..34u8, any::<u8>(), any::<u8>()), STEPS / 2..STEPS);
    let charged = std::cell::Cell::new(0);
    let reclaimed = std::cell::Cell::new(0);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new();
        for (action, a, b) in steps {
            world.step(action, a, b);
        }
        world.recover();
        for (_witness, key) in &world.acknowledged {
            let known =
                world.charged.contains_key(key) || world.fold.late().any(|late| late.key == *key);
            assert!(known, "the acknowledged charge of {key} is missing");
        }
        charged.set(charged.get() + world.charged.len());
        let grants = world.fold.grants().values();
        reclaimed.set(reclaimed.get() + grants.filter(|state| state.reclaimed).count());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    eprintln!(
        "{} keys charged, {} grants reclaimed",
        charged.get(),
        reclaimed.get()
    );
    assert!(charged.get() > 1_000, "the interleavings charge too little");
    assert!(
        reclaimed.get() > 100,
        "the interleavings reclaim too little"
    );
}
