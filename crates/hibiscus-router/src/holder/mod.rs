//! Duty: keeps this process's allowance and asks brokers for more.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_ledger::holder::HeldAllowance;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::AllowanceReturn;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::shard_of;
use hibiscus_ledger::sizing::EqualShares;
use hibiscus_ledger::sizing::SizingPolicy;
use hibiscus_ledger::sizing::SizingView;
use hibiscus_membership::ranking;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;

use crate::context::SharedContext;
use crate::ledger::append::AppendRings;
use crate::ledger::broker::BrokerReply;
use crate::ledger::broker::BrokerRequest;
use crate::ledger::client;
use crate::operators::metrics;

/// Time between looks at deadlines and stop flag.
const TICK: Duration = Duration::from_millis(20);
/// Time that a broker may take to answer a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between looks at the stop flag of the grant threads.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Witnesses of a grant.
const WITNESSES: usize = 2;
/// Smallest grant asked for, so that small requests share one.
const SMALLEST_GRANT: TokenCount = TokenCount::new(2_000);

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveRefusal {
    /// The ledger proves at this offset that the budget does not cover it.
    Exhausted {
        /// The offset.
        offset: u64,
    },
    /// No broker answered in time.
    Unconfirmed,
}

/// Answer to a reservation.
pub type ReserveAnswer = std::result::Result<TokenReservation, ReserveRefusal>;

/// A request that waits for allowance.
pub struct ReserveCall {
    /// The team that pays.
    pub team: TeamName,
    /// The budget drawn on.
    pub budget: BudgetName,
    /// Tokens to set aside.
    pub tokens: TokenCount,
    /// When the wait ends.
    pub deadline: Instant,
    /// Where the answer goes.
    pub reply: SyncSender<ReserveAnswer>,
}

/// Input of the holder duty.
pub enum HolderMessage {
    /// Set tokens aside.
    Reserve(ReserveCall),
    /// End a reservation.
    Settle {
        /// The reservation.
        reservation: TokenReservation,
        /// Tokens used.
        charge: TokenCount,
    },
    /// A broker's answer to a grant.
    Granted {
        /// The grant asked for.
        grant: AllowanceGrant,
        /// The answer, `None` when no broker answered.
        reply: Option<BrokerReply>,
    },
    /// Give all unreserved tokens back.
    GiveBack {
        /// Told once the returns are on their way to the log.
        done: SyncSender<()>,
    },
}

/// A grant to ask a broker for.
pub struct GrantWanted {
    /// The shard of the budget.
    pub shard: u32,
    /// The grant.
    pub grant: AllowanceGrant,
}

/// What is known of one budget here.
struct BudgetDesk {
    team: TeamName,
    waiting: VecDeque<ReserveCall>,
    asked: bool,
    free: Option<TokenCount>,
    exhausted_at: Option<u64>,
}

/// State of the duty.
struct HolderState<'a> {
    context: &'a SharedContext,
    wanted: &'a SyncSender<GrantWanted>,
    appends: &'a AppendRings,
    held: HeldAllowance,
    desks: BTreeMap<BudgetName, BudgetDesk>,
}

/// Serves reservations until the process ends.
pub fn run(
    context: &SharedContext,
    ring: &Receiver<HolderMessage>,
    wanted: &SyncSender<GrantWanted>,
    appends: &AppendRings,
) {
    let mut state = HolderState {
        context,
        wanted,
        appends,
        held: HeldAllowance::default(),
        desks: BTreeMap::new(),
    };
    while !context.is_ended() {
        if let Ok(message) = ring.recv_timeout(TICK) {
            state.take(message);
        }
        state.refuse_late();
        state.ask_for_waiting();
    }
}

impl HolderState<'_> {
    fn take(&mut self, message: HolderMessage) {
        match message {
            HolderMessage::Reserve(call) => self.reserve(call),
            HolderMessage::Settle {
                reservation,
                charge,
            } => {
                self.held.settle(&reservation, charge);
                metrics::count_charge(self.context, charge);
            }
            HolderMessage::Granted { grant, reply } => self.granted(grant, reply),
            HolderMessage::GiveBack { done } => {
                self.give_back();
                let _gone = done.try_send(());
            }
        }
    }

    fn reserve(&mut self, call: ReserveCall) {
        if let Some(reservation) = self.held.reserve(&call.budget, call.tokens) {
            let _gone = call.reply.try_send(Ok(reservation));
            return;
        }
        let budget = call.budget.clone();
        let desk = self
            .desks
            .entry(budget.clone())
            .or_insert_with(|| BudgetDesk {
                team: call.team.clone(),
                waiting: VecDeque::new(),
                asked: false,
                free: None,
                exhausted_at: None,
            });
        desk.waiting.push_back(call);
        self.ask(&budget);
    }

    /// Asks a broker for a grant unless one is on its way.
    fn ask(&mut self, budget: &BudgetName) {
        let holders = self.context.fleet.lock().instances().len();
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        if desk.asked || desk.waiting.is_empty() {
            return;
        }
        let needed: TokenCount = desk.waiting.iter().map(|call| call.tokens).sum();
        let view = SizingView {
            demand_per_second: 0.0,
            wanted: needed,
            held: TokenCount::ZERO,
            free: desk.free.unwrap_or(needed.max(SMALLEST_GRANT)),
            holders: u32::try_from(holders).unwrap_or(u32::MAX),
            log_silence: Duration::ZERO,
        };
        let tokens = EqualShares.next_grant(&view);
        if tokens.is_zero() {
            return;
        }
        let witnesses = choose_witnesses(self.context, budget);
        if witnesses.is_empty() {
            return;
        }
        let grant = AllowanceGrant {
            id: GrantId::generate(),
            budget: budget.clone(),
            holder: self.context.incarnation,
            instance: self.context.settings.instance.name.clone(),
            tokens,
            witnesses,
        };
        let shard = shard_of(&desk.team, self.context.settings.budgets.shards);
        desk.asked = self.wanted.try_send(GrantWanted { shard, grant }).is_ok();
    }

    fn granted(&mut self, grant: AllowanceGrant, reply: Option<BrokerReply>) {
        let budget = grant.budget.clone();
        let Some(desk) = self.desks.get_mut(&budget) else {
            return;
        };
        desk.asked = false;
        let Some(BrokerReply::Grant {
            accepted,
            free,
            offset,
        }) = reply
        else {
            return;
        };
        desk.free = Some(free);
        let code = if accepted {
            self.held.add(grant);
            EventCode::GrantObtained
        } else {
            desk.exhausted_at = Some(offset);
            EventCode::GrantRefused
        };
        let fields = EventFields {
            budget: budget.to_string(),
            ..EventFields::default()
        };
        self.context.events.record(code, fields);
        self.serve_waiting(&budget);
        self.ask(&budget);
    }

    /// Serves the waiting requests in order of arrival.
    fn serve_waiting(&mut self, budget: &BudgetName) {
        let Some(desk) = self.desks.get_mut(budget) else {
            return;
        };
        let mut still = VecDeque::new();
        while let Some(call) = desk.waiting.pop_front() {
            if let Some(reservation) = self.held.reserve(budget, call.tokens) {
                let _gone = call.reply.try_send(Ok(reservation));
                continue;
            }
            match (desk.exhausted_at, desk.free) {
                (Some(offset), Some(free)) if free < call.tokens => {
                    let refusal = ReserveRefusal::Exhausted { offset };
                    let _gone = call.reply.try_send(Err(refusal));
                }
                _ => still.push_back(call),
            }
        }
        if desk.exhausted_at.take().is_some() {
            // Credits may follow: the next request asks the ledger again.
            desk.free = None;
        }
        desk.waiting = still;
    }

    fn refuse_late(&mut self) {
        let now = Instant::now();
        for desk in self.desks.values_mut() {
            desk.waiting.retain(|call| {
                let late = call.deadline <= now;
                if late {
                    let _gone = call.reply.try_send(Err(ReserveRefusal::Unconfirmed));
                }
                !late
            });
        }
    }

    /// Asks again for budgets whose last grant could not be asked for.
    fn ask_for_waiting(&mut self) {
        let mut unasked = Vec::new();
        for (budget, desk) in &self.desks {
            if !desk.asked && !desk.waiting.is_empty() {
                unasked.push(budget.clone());
            }
        }
        for budget in unasked {
            self.ask(&budget);
        }
    }

    fn give_back(&mut self) {
        let config = self.context.config.get();
        for (budget, grant, tokens) in self.held.take_unreserved() {
            let Some(entry) = config.budgets.get(&budget) else {
                continue;
            };
            let shard = shard_of(&entry.team, self.context.settings.budgets.shards);
            let back = AllowanceReturn { grant, tokens };
            self.appends.push(shard, LedgerRecord::Return(back));
        }
    }
}

/// One witness in the own data centre and one in another, never itself.
fn choose_witnesses(context: &SharedContext, budget: &BudgetName) -> Vec<IncarnationId> {
    let fleet = context.fleet.lock();
    let own = &context.settings.instance;
    let mut ready = fleet.ready(UnixMillis::now());
    ready.retain(|instance| instance.name != own.name);
    let key = format!("witness/{}/{budget}", own.name);
    let ranked = ranking::rank(key.as_bytes(), &ready);
    let near = ranked
        .iter()
        .find(|held| held.data_centre == own.data_centre);
    let far = ranked
        .iter()
        .find(|held| held.data_centre != own.data_centre);
    let mut chosen: Vec<_> = near.into_iter().chain(far).collect();
    for instance in &ranked {
        if chosen.len() >= WITNESSES {
            break;
        }
        if !chosen.iter().any(|held| held.name == instance.name) {
            chosen.push(instance);
        }
    }
    let mut witnesses = Vec::with_capacity(WITNESSES);
    for instance in chosen {
        let Some(beat) = fleet.beat_of(&instance.name) else {
            continue;
        };
        witnesses.push(beat.incarnation);
    }
    witnesses
}

/// Asks brokers for grants until the holder ends.
pub fn request_grants(
    context: &SharedContext,
    wanted: &Mutex<Receiver<GrantWanted>>,
    ring: &SyncSender<HolderMessage>,
) {
    while !context.is_ended() {
        let next = wanted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv_timeout(IDLE_WAIT);
        let Ok(want) = next else {
            continue;
        };
        let request = BrokerRequest::Grant {
            shard: want.shard,
            grant: want.grant.clone(),
        };
        let reply = client::call(context, want.shard, &request, GRANT_TIMEOUT);
        let grant = want.grant;
        if ring.send(HolderMessage::Granted { grant, reply }).is_err() {
            return;
        }
    }
}
