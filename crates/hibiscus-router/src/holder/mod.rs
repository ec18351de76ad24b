//! Duty: keeps this process's allowance and asks brokers for more.

pub mod grants;
pub mod message;
pub mod sealed;
pub mod splits;

mod desk;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_ledger::holder::HeldAllowance;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::AllowanceSplit;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::shard_of;
use hibiscus_ledger::sizing::HorizonShares;
use hibiscus_ledger::sizing::SizingPolicy;
use hibiscus_peer::PeerCall;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;

use crate::context::SharedContext;
use crate::holder::desk::BudgetDesk;
use crate::holder::grants::GrantWanted;
pub use crate::holder::message::HolderMessage;
pub use crate::holder::message::ReserveAnswer;
pub use crate::holder::message::ReserveCall;
pub use crate::holder::message::ReserveRefusal;
use crate::holder::splits::SplitAsk;
use crate::holder::splits::SplitJob;
use crate::holder::splits::SplitShelf;
use crate::ledger::append::AppendRings;
use crate::ledger::broker;
use crate::ledger::broker::BrokerReply;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Time between looks at sealed grants and stop flag while nothing waits.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time between looks at deadlines.
const TICK: Duration = Duration::from_millis(20);
/// Time between looks at idle allowance.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a peer may take to hear of a recall.
const RECALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence of the log after which fragments are kept and not joined.
const JOIN_SILENCE: Duration = Duration::from_millis(700);
/// Seconds of its own demand that a holder keeps when a peer runs dry.
const RECALL_KEPT_SECONDS: f64 = 2.0;

/// State of the duty.
struct HolderState<'a> {
    context: &'a SharedContext,
    wanted: &'a SyncSender<GrantWanted>,
    splits: &'a SyncSender<SplitJob>,
    shelf: SplitShelf,
    appends: &'a AppendRings,
    policy: HorizonShares,
    held: HeldAllowance,
    desks: BTreeMap<BudgetName, BudgetDesk>,
    budgets: BTreeMap<GrantId, BudgetName>,
}

/// Serves reservations until the process ends.
pub fn run(
    context: &SharedContext,
    ring: &Receiver<HolderMessage>,
    wanted: &SyncSender<GrantWanted>,
    splits: &SyncSender<SplitJob>,
    appends: &AppendRings,
) {
    let mut state = HolderState {
        context,
        wanted,
        splits,
        shelf: SplitShelf::default(),
        appends,
        policy: HorizonShares,
        held: HeldAllowance::default(),
        desks: BTreeMap::new(),
        budgets: BTreeMap::new(),
    };
    let mut last_tick = Instant::now();
    let mut last_idle = Instant::now();
    while !context.is_ended() {
        let tick = if state.is_waiting() { TICK } else { IDLE_TICK };
        if let Ok(message) = ring.recv_timeout(tick) {
            state.take(message);
        }
        if last_tick.elapsed() >= tick {
            last_tick = Instant::now();
            state.tick();
        }
        if last_idle.elapsed() >= IDLE_INTERVAL {
            last_idle = Instant::now();
            state.give_back_idle();
        }
    }
}

impl HolderState<'_> {
    /// Whether a request or a grant is waited for.
    fn is_waiting(&self) -> bool {
        let mut desks = self.desks.values();
        desks.any(|desk| desk.asked.is_some() || !desk.waiting.is_empty())
    }

    fn take(&mut self, message: HolderMessage) {
        match message {
            HolderMessage::Reserve(call) => self.reserve(call),
            HolderMessage::Settle {
                reservation,
                charge,
            } => self.settle(&reservation, charge),
            HolderMessage::Granted { grant, reply } => self.granted(grant, reply),
            HolderMessage::Recall { budget } => self.recall(&budget),
            HolderMessage::Share { ask, call } => self.share(ask, call),
            HolderMessage::Obtained { split } => self.obtained(split),
            HolderMessage::GiveBack { done } => {
                self.give_back();
                let _gone = done.try_send(());
            }
        }
    }

    fn reserve(&mut self, call: ReserveCall) {
        let budget = call.budget.clone();
        let desk = self
            .desks
            .entry(budget.clone())
            .or_insert_with(|| BudgetDesk::new(call.team.clone()));
        let now = desk.now();
        desk.meter.reserve(call.tokens, now);
        match self.held.reserve(&budget, call.tokens) {
            Some(reservation) => {
                let _gone = call.reply.try_send(Ok(reservation));
            }
            None => desk.waiting.push_back(call),
        }
        self.plan(&budget);
    }

    fn settle(&mut self, reservation: &TokenReservation, charge: TokenCount) {
        self.held.settle(reservation, charge);
        let Some(budget) = self.budgets.get(&reservation.grant).cloned() else {
            return;
        };
        if let Some(desk) = self.desks.get_mut(&budget) {
            let now = desk.now();
            desk.meter.spend(charge, now);
        }
        self.serve_waiting(&budget);
        self.return_idle(&budget);
    }

    /// Gives back at once what the policy does not keep, so that the last
    /// tokens of a budget are where every holder reaches them.
    fn return_idle(&mut self, budget: &BudgetName) {
        let holders = self.context.fleet.lock().instances().len();
        let held = self.held.unreserved(budget);
        let silence = self.log_silence();
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        let keep = self.policy.decide(&desk.view(held, holders, silence)).keep;
        if held > keep {
            self.return_beyond(budget, keep);
        }
    }

    /// Does what the sizing policy decides for `budget`.
    fn plan(&mut self, budget: &BudgetName) {
        let holders = self.context.fleet.lock().instances().len();
        let held = self.held.unreserved(budget);
        let silence = self.log_silence();
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        let mut view = desk.view(held, holders, silence);
        // What is held and serves no waiting request lies in fragments.
        let fragments = !desk.waiting.is_empty() && !held.is_zero();
        let joins = fragments && silence < JOIN_SILENCE && desk.asked.is_none();
        if joins {
            view.held = TokenCount::ZERO;
            if let Some(ledger) = &mut view.ledger {
                ledger.free = ledger.free + held;
            }
        }
        let decision = self.policy.decide(&view);
        let wanted = view.wanted.saturating_sub(view.held);
        let gathers = decision.gather && desk.may_gather();
        if desk.asked.is_some() {
            self.ask_again(budget);
        } else if !decision.ask.is_zero() && desk.may_ask() {
            self.ask(budget, decision.ask, joins);
        }
        // What peers give back goes through the log, so it must answer;
        // otherwise they split something off.
        if gathers && silence < JOIN_SILENCE {
            self.ask_peers(budget);
        } else if gathers {
            self.ask_split(budget, wanted);
        }
    }

    /// Age of the oldest open question of any budget.
    fn log_silence(&self) -> Duration {
        let ages = self.desks.values().map(BudgetDesk::log_silence);
        ages.max().unwrap_or(Duration::ZERO)
    }

    /// Asks the ledger for a new grant.
    fn ask(&mut self, budget: &BudgetName, tokens: TokenCount, joins: bool) {
        let witnesses = grants::choose_witnesses(self.context, budget);
        if witnesses.is_empty() {
            return;
        }
        let returns = if joins {
            self.held.take_beyond(budget, TokenCount::ZERO)
        } else {
            Vec::new()
        };
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        let grant = AllowanceGrant {
            id: GrantId::generate(),
            budget: budget.clone(),
            holder: self.context.incarnation,
            instance: self.context.settings.instance.name.clone(),
            tokens,
            witnesses,
        };
        let shard = shard_of(&desk.team, self.context.settings.budgets.shards);
        desk.ask(GrantWanted {
            shard,
            returns,
            grant,
        });
        self.ask_again(budget);
    }

    /// Sends the open question to a grant thread.
    fn ask_again(&mut self, budget: &BudgetName) {
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        let Some(asked) = desk.asked.clone().filter(|_asked| desk.may_ask()) else {
            return;
        };
        desk.asking = self.wanted.try_send(asked).is_ok();
    }

    fn granted(&mut self, grant: AllowanceGrant, reply: Option<BrokerReply>) {
        let budget = grant.budget.clone();
        let Some(desk) = self.desks.get_mut(&budget) else {
            return;
        };
        let Some(BrokerReply::Grant {
            accepted,
            headroom,
            offset,
        }) = reply
        else {
            desk.unanswered();
            return;
        };
        desk.answered(headroom, offset, accepted);
        let detail = format!("{} tokens, ledger offset {offset}", grant.tokens);
        let code = if accepted {
            desk.obtained = desk.obtained + grant.tokens;
            self.budgets.insert(grant.id, budget.clone());
            self.held.add(grant);
            EventCode::GrantObtained
        } else {
            EventCode::GrantRefused
        };
        broker::note_grant(self.context, code, &budget, detail);
        self.serve_waiting(&budget);
        self.refuse_exhausted(&budget);
        self.plan(&budget);
    }

    /// Refuses what the ledger proves uncovered. A top-up that is in force and
    /// not yet in the ledger proves nothing: its request waits.
    fn refuse_exhausted(&mut self, budget: &BudgetName) {
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        if !desk.is_short() {
            return;
        }
        let config = self.context.config.get();
        desk.refuse_exhausted(config.credited(budget));
    }

    /// Serves the waiting requests in order of arrival.
    fn serve_waiting(&mut self, budget: &BudgetName) {
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        let mut still = VecDeque::new();
        while let Some(call) = desk.waiting.pop_front() {
            match self.held.reserve(budget, call.tokens) {
                Some(reservation) => {
                    let _gone = call.reply.try_send(Ok(reservation));
                }
                None => still.push_back(call),
            }
        }
        desk.waiting = still;
    }

    /// Drops sealed grants, refuses late requests, and plans for the others.
    fn tick(&mut self) {
        for grant in self.context.sealed_grants.take() {
            self.held.seal(grant);
        }
        let mut open = Vec::new();
        for (budget, desk) in &mut self.desks {
            desk.refuse_late();
            if desk.asked.is_some() || !desk.waiting.is_empty() {
                open.push(budget.clone());
            }
        }
        for budget in open {
            self.plan(&budget);
        }
    }

    /// Asks every peer to give back what it does not need soon.
    fn ask_peers(&self, budget: &BudgetName) {
        let peers = self.context.fleet.lock().ready(UnixMillis::now());
        for peer in peers {
            if peer.name == self.context.settings.instance.name {
                continue;
            }
            let request = PeerRequest::Recall {
                budget: budget.clone(),
            };
            // A lost recall is repeated while a request waits.
            let _pending = request.start(self.context, peer.peers, RECALL_TIMEOUT);
        }
    }

    /// Asks the peers, one after the other, to split `tokens` off.
    fn ask_split(&self, budget: &BudgetName, tokens: TokenCount) {
        let ask = SplitAsk {
            budget: budget.clone(),
            tokens,
            child: GrantId::generate(),
            holder: self.context.incarnation,
            instance: self.context.settings.instance.name.clone(),
        };
        // With a full ring the next look asks again.
        let _full = self.splits.try_send(SplitJob::Gather { ask });
    }

    /// Splits something off for a peer, unless a request waits here too.
    fn share(&mut self, ask: SplitAsk, call: PeerCall) {
        let Some(desk) = self.desks.get_mut(&ask.budget) else {
            PeerReply::Split(None).send(call);
            return;
        };
        let now = desk.now();
        let kept = TokenCount::new((desk.meter.rate(now) * RECALL_KEPT_SECONDS) as u64);
        let waits = !desk.waiting.is_empty();
        let shard = shard_of(&desk.team, self.context.settings.budgets.shards);
        let made = self.shelf.make(&mut self.held, &ask, kept, waits);
        let Some(made) = made else {
            PeerReply::Split(None).send(call);
            return;
        };
        let job = SplitJob::Confirm { shard, made, call };
        // With a full ring the peer asks again for the same split.
        let _full = self.splits.try_send(job);
    }

    /// Takes a split over. Its record goes to the log from here as well.
    fn obtained(&mut self, split: AllowanceSplit) {
        let budget = split.child.budget.clone();
        let Some(desk) = self.desks.get(&budget) else {
            return;
        };
        let shard = shard_of(&desk.team, self.context.settings.budgets.shards);
        self.budgets.insert(split.child.id, budget.clone());
        self.held.add(split.child.clone());
        self.appends.push(shard, LedgerRecord::Split(split));
        self.serve_waiting(&budget);
    }

    fn recall(&mut self, budget: &BudgetName) {
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        if !desk.waiting.is_empty() {
            return;
        }
        let now = desk.now();
        let kept = desk.meter.rate(now) * RECALL_KEPT_SECONDS;
        self.return_beyond(budget, TokenCount::new(kept as u64));
    }

    /// Gives back what is held beyond what the policy keeps.
    fn give_back_idle(&mut self) {
        let budgets: Vec<BudgetName> = self.desks.keys().cloned().collect();
        for budget in budgets {
            self.return_idle(&budget);
        }
        let held = &self.held;
        self.budgets.retain(|grant, _budget| held.holds(*grant));
    }

    fn return_beyond(&mut self, budget: &BudgetName, keep: TokenCount) {
        let Some(desk) = self.desks.get(budget) else {
            return;
        };
        let shard = shard_of(&desk.team, self.context.settings.budgets.shards);
        for back in self.held.take_beyond(budget, keep) {
            self.appends.push(shard, LedgerRecord::Return(back));
        }
    }

    fn give_back(&mut self) {
        let config = self.context.config.get();
        for (budget, back) in self.held.take_unreserved() {
            let Some(entry) = config.budgets.get(&budget) else {
                continue;
            };
            let shard = shard_of(&entry.team, self.context.settings.budgets.shards);
            self.appends.push(shard, LedgerRecord::Return(back));
        }
    }
}
