//! Holders that serve requests tick by tick.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use hibiscus_ledger::holder::HeldAllowance;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::BudgetCredit;
use hibiscus_ledger::record::GrantSeal;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::record::TopUpId;
use hibiscus_ledger::record::WitnessSeal;
use hibiscus_ledger::sizing::LedgerHeadroom;
use hibiscus_ledger::sizing::SizingPolicy;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;

use crate::sizing::case::HOLDERS;
use crate::sizing::case::SizingCase;
use crate::sizing::case::TEAM_SHARES;
use crate::sizing::desk::OpenQuestion;
use crate::sizing::desk::SizedRequest;
use crate::sizing::desk::SizingDesk;
use crate::sizing::log::MemoryLog;
use crate::sizing::log::RecordQueue;

/// Time of one tick.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between the appends of one process.
const APPEND_TICKS: u64 = 2;
/// Ticks between looks at idle allowance.
const IDLE_TICKS: u64 = 10;
/// Time that a request waits for allowance.
const WAIT: Duration = Duration::from_secs(2);
/// Time from a holder's death to the reclaim of its grants.
const RECLAIM_DELAY: Duration = Duration::from_secs(8);
/// Time after which an open question counts as unanswered.
const SLOW_ANSWER: Duration = Duration::from_millis(700);
/// Seconds of its own demand that a holder keeps when a peer runs dry.
const SPARED_SECONDS: f64 = 2.0;
/// Tokens of a request by the sizes below, on average: prompt, completion.
const MEAN_COST: f64 = 180.0;

/// What a run measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct SizingCounts {
    /// Requests received.
    pub offered: u64,
    /// Requests that ran.
    pub admitted: u64,
    /// Tokens spent beyond the credits.
    pub overspend_tokens: u64,
    /// Refusals although credits minus charges covered the actual cost.
    pub false_refusals: u64,
    /// Unreserved tokens at the holders, on average.
    pub held_tokens: u64,
    /// Appends of all processes.
    pub appends: u64,
    /// Bytes of these.
    pub bytes: u64,
    /// Tokens spent.
    pub spent: u64,
    /// Tokens credited.
    pub credited: u64,
}

/// A request that runs.
struct RunningRequest {
    ends: Duration,
    team: usize,
    reservation: TokenReservation,
    request: SizedRequest,
}

/// One holder's process.
struct HolderProcess {
    number: u128,
    held: HeldAllowance,
    desks: Vec<SizingDesk>,
    running: Vec<RunningRequest>,
    queue: RecordQueue,
}

impl HolderProcess {
    /// Age of the oldest open question.
    fn log_silence(&self, now: Duration) -> Duration {
        let asked = self.desks.iter().filter_map(|desk| desk.asked.as_ref());
        let ages = asked.map(|question| now.saturating_sub(question.since));
        ages.max().unwrap_or(Duration::ZERO)
    }
}

/// Tokens of one team, as they truly are.
#[derive(Clone, Copy, Default)]
struct TeamTokens {
    credited: u64,
    spent: u64,
}

/// The fleet of one run.
pub struct SizingFleet<P> {
    case: SizingCase,
    policy: P,
    rate: f64,
    length: Duration,
    rng: Rng,
    now: Duration,
    ticks: u64,
    numbers: u128,
    log: MemoryLog,
    holders: Vec<HolderProcess>,
    weights: Vec<Vec<f64>>,
    teams: Vec<TeamTokens>,
    reclaims: BTreeMap<Duration, u128>,
    held_sum: u64,
    counts: SizingCounts,
}

fn budget(team: usize) -> BudgetName {
    BudgetName::new(format!("team-{team}"))
}

impl<P: SizingPolicy> SizingFleet<P> {
    /// A fleet whose budgets are credited.
    pub fn new(case: SizingCase, policy: P, rate: f64, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let weights = TEAM_SHARES.map(|_share| {
            let raw: Vec<f64> = (0..HOLDERS)
                .map(|_holder| 0.05 + rng.f64().powi(2))
                .collect();
            let sum: f64 = raw.iter().sum();
            raw.iter().map(|weight| weight / sum).collect()
        });
        let mut fleet = Self {
            case,
            policy,
            rate,
            length: case.length(),
            rng,
            now: Duration::ZERO,
            ticks: 0,
            numbers: 0,
            log: MemoryLog::default(),
            holders: Vec::new(),
            weights: weights.to_vec(),
            teams: vec![TeamTokens::default(); TEAM_SHARES.len()],
            reclaims: BTreeMap::new(),
            held_sum: 0,
            counts: SizingCounts::default(),
        };
        for _holder in 0..HOLDERS {
            let process = fleet.new_process();
            fleet.holders.push(process);
        }
        fleet.credit(case.credit_seconds());
        fleet.holders[0].queue.flush(&mut fleet.log);
        fleet
    }

    /// Ends the run after `length`.
    pub fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Runs to the end and says what was measured.
    pub fn run(mut self) -> SizingCounts {
        while self.now < self.length {
            self.tick();
        }
        self.finish()
    }

    fn finish(mut self) -> SizingCounts {
        for team in &self.teams {
            self.counts.overspend_tokens += team.spent.saturating_sub(team.credited);
            self.counts.spent += team.spent;
            self.counts.credited += team.credited;
        }
        assert!(
            self.log.fold.overspent().is_empty(),
            "the ledger overspends"
        );
        self.counts.held_tokens = self.held_sum / self.ticks.max(1);
        self.counts.appends = self.log.appends;
        self.counts.bytes = self.log.bytes;
        self.counts
    }

    fn new_process(&mut self) -> HolderProcess {
        self.numbers += 1;
        HolderProcess {
            number: self.numbers,
            held: HeldAllowance::default(),
            desks: vec![SizingDesk::default(); TEAM_SHARES.len()],
            running: Vec::new(),
            queue: RecordQueue::new(self.numbers),
        }
    }

    /// Credits every budget with `seconds` of its demand.
    fn credit(&mut self, seconds: u64) {
        for (team, share) in TEAM_SHARES.into_iter().enumerate() {
            let demand = MEAN_COST * self.rate * share as f64 / 100.0;
            let tokens = (demand * seconds as f64) as u64;
            self.teams[team].credited += tokens;
            let credit = BudgetCredit {
                id: TopUpId(format!("{team}-{}", self.ticks)),
                team: "team".into(),
                budget: budget(team),
                tokens: TokenCount::new(tokens),
            };
            self.holders[0].queue.push(LedgerRecord::Credit(credit));
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.now += TICK;
        if let Some((at, seconds)) = self.case.top_up().filter(|top_up| top_up.0 == self.now) {
            debug_assert_eq!(at, self.now);
            self.credit(seconds);
        }
        if let Some(holder) = self.case.death(self.now) {
            self.kill(holder);
        }
        self.reclaim_due();
        self.arrive();
        for holder in 0..HOLDERS {
            self.end_runs(holder);
            self.hear_verdicts(holder);
            for team in 0..TEAM_SHARES.len() {
                self.plan(holder, team);
                self.serve(holder, team);
            }
        }
        if self.ticks.is_multiple_of(APPEND_TICKS) {
            self.append();
        }
    }

    fn append(&mut self) {
        for (index, holder) in self.holders.iter_mut().enumerate() {
            if self.case.reaches_log(index, self.now) {
                holder.queue.flush(&mut self.log);
            }
        }
    }

    /// New requests by the teams' shares and the holders' weights.
    fn arrive(&mut self) {
        for (team, share) in TEAM_SHARES.into_iter().enumerate() {
            let mean = self.rate * TICK.as_secs_f64() * share as f64 / 100.0;
            let mut count = mean as u64;
            count += u64::from(self.rng.f64() < mean.fract());
            for _request in 0..count {
                let holder = self.choose_holder(team);
                let request = self.new_request();
                self.counts.offered += 1;
                let now = self.now;
                let desk = &mut self.holders[holder].desks[team];
                desk.meter.reserve(request.reserve, now);
                desk.waiting.push_back(request);
            }
        }
    }

    fn choose_holder(&mut self, team: usize) -> usize {
        let mut point = self.rng.f64();
        for (holder, weight) in self.weights[team].iter().enumerate() {
            if point < *weight {
                return holder;
            }
            point -= weight;
        }
        HOLDERS - 1
    }

    fn new_request(&mut self) -> SizedRequest {
        let prompt = self.rng.u64(20..100);
        let most = self.rng.u64(16..420);
        let completion = self.rng.u64(most / 10..=most);
        SizedRequest {
            number: self.counts.offered,
            reserve: TokenCount::new(prompt + most + 16),
            cost: TokenCount::new(prompt + completion),
            length: TICK * self.rng.u32(5..40),
            deadline: self.now + WAIT,
        }
    }

    /// Serves the waiting requests of a desk and refuses the late ones.
    fn serve(&mut self, holder: usize, team: usize) {
        let budget = budget(team);
        let waiting = std::mem::take(&mut self.holders[holder].desks[team].waiting);
        for request in waiting {
            let process = &mut self.holders[holder];
            let reserved = process.held.reserve(&budget, request.reserve);
            if let Some(reservation) = reserved {
                self.start(holder, team, reservation, request);
                continue;
            }
            let headroom = process.desks[team].headroom;
            let exhausted = headroom.is_some_and(|known| known.remaining < request.reserve);
            if !exhausted && request.deadline > self.now {
                process.desks[team].waiting.push_back(request);
                continue;
            }
            let tokens = self.teams[team];
            let left = tokens.credited.saturating_sub(tokens.spent);
            self.counts.false_refusals += u64::from(left >= request.cost.get());
        }
    }

    fn start(
        &mut self,
        holder: usize,
        team: usize,
        reservation: TokenReservation,
        request: SizedRequest,
    ) {
        self.counts.admitted += 1;
        self.teams[team].spent += request.cost.get();
        let open = RequestOpen {
            key: RequestKey::new("team".into(), request.number.to_string()),
            grant: reservation.grant,
            reserved: reservation.tokens,
            server: "server".into(),
            exclusive: false,
            attempt: 0,
            opened: UnixMillis::new(0),
        };
        self.tell_witnesses(holder, &LedgerRecord::Open(open));
        self.holders[holder].running.push(RunningRequest {
            ends: self.now + request.length,
            team,
            reservation,
            request,
        });
    }

    /// Both witnesses of a holder append what they acknowledged.
    fn tell_witnesses(&mut self, holder: usize, record: &LedgerRecord) {
        let mut sent = 0;
        for step in 1..HOLDERS {
            let witness = (holder + step) % HOLDERS;
            if sent < 2 && self.case.reach(holder, witness, self.now) {
                self.holders[witness].queue.push(record.clone());
                sent += 1;
            }
        }
    }

    fn end_runs(&mut self, holder: usize) {
        let now = self.now;
        let process = &mut self.holders[holder];
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut process.running)
            .into_iter()
            .partition(|run| run.ends <= now);
        process.running = running;
        for run in ended {
            let process = &mut self.holders[holder];
            process.held.settle(&run.reservation, run.request.cost);
            process.desks[run.team].meter.spend(run.request.cost, now);
            self.settle(holder, &run);
        }
    }

    fn settle(&mut self, holder: usize, run: &RunningRequest) {
        let settlement = RequestSettlement {
            key: RequestKey::new("team".into(), run.request.number.to_string()),
            grant: run.reservation.grant,
            attempt: 0,
            reserved: run.reservation.tokens,
            charge: run.request.cost,
            end: SettledEnd::Ran,
            answer: None,
        };
        self.tell_witnesses(holder, &LedgerRecord::Settle(settlement));
    }

    /// Takes the verdicts of the open questions over.
    fn hear_verdicts(&mut self, holder: usize) {
        if !self.case.reaches_log(holder, self.now) {
            return;
        }
        let process = &mut self.holders[holder];
        for (team, desk) in process.desks.iter_mut().enumerate() {
            let Some(question) = &desk.asked else {
                continue;
            };
            if !self.log.fold.has_decided(&question.grant.id) {
                continue;
            }
            if self.log.fold.grants().contains_key(&question.grant.id) {
                desk.obtained = desk.obtained + question.grant.tokens;
                process.held.add(question.grant.clone());
            }
            desk.asked = None;
            desk.headroom =
                self.log
                    .fold
                    .budgets()
                    .get(&budget(team))
                    .map(|state| LedgerHeadroom {
                        credited: state.credited,
                        remaining: state.credited.saturating_sub(state.charged),
                        free: state.free(),
                    });
        }
    }

    /// Does what the policy decides for one desk.
    fn plan(&mut self, holder: usize, team: usize) {
        let name = budget(team);
        let now = self.now;
        let idle = self.ticks.is_multiple_of(IDLE_TICKS);
        let process = &mut self.holders[holder];
        let held = process.held.unreserved(&name);
        self.held_sum += held.get();
        let silence = process.log_silence(now);
        let desk = &mut process.desks[team];
        if desk.waiting.is_empty() && !idle {
            return;
        }
        let mut view = desk.view(held, HOLDERS, now, silence);
        let failing = view.log_silence >= SLOW_ANSWER;
        let first = desk.waiting.front().map(|request| request.reserve);
        let fits = first.is_none_or(|tokens| process.held.fits(&name, tokens));
        // What is held and does not serve the request lies in fragments.
        let joins = !fits && !failing && !held.is_zero();
        if joins {
            view.held = TokenCount::ZERO;
            if let Some(ledger) = &mut view.ledger {
                ledger.free = ledger.free + held;
            }
        }
        let decision = self.policy.decide(&view);
        if !decision.ask.is_zero() && desk.asked.is_none() {
            if joins {
                for back in process.held.take_beyond(&name, TokenCount::ZERO) {
                    process.queue.push(LedgerRecord::Return(back));
                }
            }
            self.ask(holder, team, decision.ask);
        }
        if decision.gather && !fits {
            self.gather(holder, team, view.wanted, failing);
        } else if idle && !failing {
            self.return_beyond(holder, team, decision.keep);
        }
    }

    fn ask(&mut self, holder: usize, team: usize, tokens: TokenCount) {
        self.numbers += 1;
        let witnesses = (1..=2).map(|step| self.holders[(holder + step) % HOLDERS].number);
        let witnesses = witnesses.map(IncarnationId::from_u128).collect();
        let process = &mut self.holders[holder];
        let grant = AllowanceGrant {
            id: GrantId::from_u128(self.numbers),
            budget: budget(team),
            holder: IncarnationId::from_u128(process.number),
            instance: "router".into(),
            tokens,
            witnesses,
        };
        process.queue.push(LedgerRecord::Grant(grant.clone()));
        let since = self.now;
        process.desks[team].asked = Some(OpenQuestion { grant, since });
    }

    fn return_beyond(&mut self, holder: usize, team: usize, keep: TokenCount) {
        let process = &mut self.holders[holder];
        for back in process.held.take_beyond(&budget(team), keep) {
            process.queue.push(LedgerRecord::Return(back));
        }
    }

    /// Peers give back what they do not need soon, or split it off while the
    /// log does not answer.
    fn gather(&mut self, holder: usize, team: usize, wanted: TokenCount, failing: bool) {
        let name = budget(team);
        for step in 1..HOLDERS {
            let peer = (holder + step) % HOLDERS;
            if !self.case.reach(holder, peer, self.now) {
                continue;
            }
            let now = self.now;
            let process = &mut self.holders[peer];
            let desk = &mut process.desks[team];
            if !desk.waiting.is_empty() {
                continue;
            }
            let kept = TokenCount::new((desk.meter.rate(now) * SPARED_SECONDS) as u64);
            if !failing {
                self.return_beyond(peer, team, kept);
                continue;
            }
            let spare = process.held.unreserved(&name).saturating_sub(kept);
            let half = TokenCount::new(spare.get() / 2).max(wanted).min(spare);
            if spare < wanted || !process.held.fits(&name, wanted) {
                continue;
            }
            self.split(peer, holder, team, half);
            return;
        }
    }

    fn split(&mut self, from: usize, to: usize, team: usize, tokens: TokenCount) {
        self.numbers += 1;
        let id = GrantId::from_u128(self.numbers);
        let peer = IncarnationId::from_u128(self.holders[to].number);
        let child = |parent: &AllowanceGrant, tokens| AllowanceGrant {
            id,
            holder: peer,
            tokens,
            ..parent.clone()
        };
        let made = self.holders[from].held.split(&budget(team), tokens, child);
        let Some((split, _witnesses)) = made else {
            return;
        };
        self.holders[to].held.add(split.child.clone());
        let record = LedgerRecord::Split(split);
        self.tell_witnesses(from, &record);
        self.holders[to].queue.push(record);
    }

    /// A holder dies; its process is replaced, and its runs are settled by
    /// their callers' retries at the next holder.
    fn kill(&mut self, holder: usize) {
        let mut process = self.new_process();
        std::mem::swap(&mut process, &mut self.holders[holder]);
        // What the dead process had acknowledged is with the other witness.
        for run in &process.running {
            self.settle(holder, run);
        }
        self.reclaims
            .insert(self.now + RECLAIM_DELAY, process.number);
        for (team, desk) in process.desks.iter_mut().enumerate() {
            let next = (holder + 1) % HOLDERS;
            let waiting = std::mem::take(&mut desk.waiting);
            self.holders[next].desks[team].waiting.extend(waiting);
        }
    }

    /// Seals the grants of dead holders; what a
    /// witness that died since should promise stays held.
    fn reclaim_due(&mut self) {
        let later = self
            .reclaims
            .split_off(&(self.now + Duration::from_nanos(1)));
        let due = std::mem::replace(&mut self.reclaims, later);
        for number in due.into_values() {
            let dead = IncarnationId::from_u128(number);
            let grants = self.log.fold.grants();
            let held: Vec<_> = grants
                .iter()
                .filter(|(_id, state)| state.grant.holder == dead && !state.is_closed())
                .map(|(id, state)| (*id, state.grant.witnesses.clone()))
                .collect();
            for (grant, witnesses) in held {
                self.holders[0]
                    .queue
                    .push(LedgerRecord::Seal(GrantSeal { grant }));
                for witness in witnesses {
                    let lives = |process: &&mut HolderProcess| {
                        IncarnationId::from_u128(process.number) == witness
                    };
                    if let Some(process) = self.holders.iter_mut().find(lives) {
                        let seal = WitnessSeal { grant, witness };
                        process.queue.push(LedgerRecord::Sealed(seal));
                    }
                }
            }
        }
    }
}
