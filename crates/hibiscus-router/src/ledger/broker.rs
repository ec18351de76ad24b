//! Broker duty: folds the ledger streams and answers other instances.

use std::sync::mpsc::Receiver;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::LogRecord;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_ledger::fold::BudgetState;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::AllowanceReturn;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::recovery::LedgerReplay;
use hibiscus_ledger::shard_of;
use hibiscus_ledger::sizing::LedgerHeadroom;
use hibiscus_peer::PeerCall;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::RequestKey;

use crate::context::SharedContext;
use crate::ledger::append::AppendRings;
use crate::ledger::client;
use crate::ledger::copy::ConfigCopier;
use crate::ledger::copy::SnapshotClock;
use crate::ledger::follow;
pub use crate::ledger::message::BrokerReply;
pub use crate::ledger::message::BrokerRequest;
pub use crate::ledger::message::KeyStatus;
use crate::ledger::reclaim::ReclaimWatch;
use crate::peer::PeerReply;

/// Time between looks at waiting calls and the stop flag.
const TICK: Duration = Duration::from_millis(100);
/// Time between looks at configuration, grants and snapshots.
const DUTY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a call is no longer waited for by its caller.
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// Calls that wait for their record at most.
const WAITING_LIMIT: usize = 10_000;

/// Input of the broker duty.
pub enum BrokerMessage {
    /// A call of an instance.
    Call {
        /// The request.
        request: BrokerRequest,
        /// Where the reply goes.
        call: PeerCall,
    },
    /// Records read from a shard's stream.
    Page {
        /// The shard.
        shard: u32,
        /// The records in order.
        records: Vec<LogRecord>,
    },
    /// Records of a shard's stream expired before they were read.
    Expired {
        /// The shard.
        shard: u32,
        /// The oldest retained offset.
        first: u64,
    },
}

/// What a waiting call asked for.
enum WaitingKind {
    Grant { id: GrantId, budget: BudgetName },
    OpenFirst(RequestOpen),
    Record(LedgerRecord),
}

/// A call whose record has not been read back yet.
struct WaitingCall {
    shard: u32,
    kind: WaitingKind,
    call: PeerCall,
    since: Instant,
}

/// State of the duty.
struct BrokerState<'a> {
    context: &'a SharedContext,
    appends: &'a AppendRings,
    replays: Vec<LedgerReplay>,
    waiting: Vec<WaitingCall>,
    copier: ConfigCopier,
    reclaims: ReclaimWatch,
    snapshots: Vec<SnapshotClock>,
}

/// Answers calls until the process ends.
pub fn run(context: &SharedContext, ring: &Receiver<BrokerMessage>, appends: &AppendRings) {
    let shards = context.settings.budgets.shards as usize;
    let mut state = BrokerState {
        context,
        appends,
        replays: (0..shards).map(|_shard| LedgerReplay::default()).collect(),
        waiting: Vec::new(),
        copier: ConfigCopier::default(),
        reclaims: ReclaimWatch::default(),
        snapshots: (0..shards).map(|_shard| SnapshotClock::default()).collect(),
    };
    let mut last_duty = Instant::now();
    while !context.is_ended() {
        if let Ok(message) = ring.recv_timeout(TICK) {
            state.take(message);
        }
        if last_duty.elapsed() >= DUTY_INTERVAL {
            last_duty = Instant::now();
            state.expire_calls();
            state.look_after_shards();
        }
    }
}

impl BrokerState<'_> {
    fn take(&mut self, message: BrokerMessage) {
        match message {
            BrokerMessage::Call { request, call } => self.answer(request, call),
            BrokerMessage::Page { shard, records } => self.apply(shard, &records),
            BrokerMessage::Expired { shard, first } => {
                if let Some(replay) = self.replays.get_mut(shard as usize) {
                    replay.skip_to(first);
                }
            }
        }
    }

    /// The ledger of `shard`, when it can be decided on from here.
    fn fold(&self, shard: u32) -> Option<&LedgerFold> {
        self.replays.get(shard as usize)?.fold()
    }

    fn answer(&mut self, request: BrokerRequest, call: PeerCall) {
        let shard = match &request {
            BrokerRequest::Grant { shard, .. }
            | BrokerRequest::Record { shard, .. }
            | BrokerRequest::Budgets { shard } => *shard,
            BrokerRequest::OpenFirst { open } => self.shard(&open.key),
            BrokerRequest::Lookup { key } => self.shard(key),
        };
        if self.fold(shard).is_none() || self.waiting.len() >= WAITING_LIMIT {
            PeerReply::Broker(BrokerReply::Unavailable).send(call);
            return;
        }
        match request {
            BrokerRequest::Grant { returns, grant, .. } => self.grant(shard, returns, grant, call),
            BrokerRequest::OpenFirst { open } => self.open_first(shard, open, call),
            BrokerRequest::Record { record, .. } => {
                self.appends.push(shard, record.clone());
                self.wait(shard, WaitingKind::Record(record), call);
            }
            BrokerRequest::Lookup { key } => {
                let reply = BrokerReply::Lookup(self.status(shard, &key));
                PeerReply::Broker(reply).send(call);
            }
            BrokerRequest::Budgets { .. } => self.reply_budgets(shard, call),
        }
    }

    fn wait(&mut self, shard: u32, kind: WaitingKind, call: PeerCall) {
        let since = Instant::now();
        self.waiting.push(WaitingCall {
            shard,
            kind,
            call,
            since,
        });
    }

    fn reply_budgets(&self, shard: u32, call: PeerCall) {
        let Some(fold) = self.fold(shard) else {
            return;
        };
        let reply = BrokerReply::Budgets {
            offset: fold.next_offset(),
            budgets: fold.budgets().clone(),
        };
        PeerReply::Broker(reply).send(call);
    }

    /// Appends the returned fragments before the grant that may use them.
    fn grant(
        &mut self,
        shard: u32,
        returns: Vec<AllowanceReturn>,
        grant: AllowanceGrant,
        call: PeerCall,
    ) {
        let decided = self
            .fold(shard)
            .is_some_and(|fold| fold.has_decided(&grant.id));
        if decided {
            self.reply_grant(shard, grant.id, &grant.budget, call);
            return;
        }
        for back in returns {
            self.appends.push(shard, LedgerRecord::Return(back));
        }
        let kind = WaitingKind::Grant {
            id: grant.id,
            budget: grant.budget.clone(),
        };
        self.wait(shard, kind, call);
        self.appends.push(shard, LedgerRecord::Grant(grant));
    }

    fn reply_grant(&self, shard: u32, id: GrantId, budget: &BudgetName, call: PeerCall) {
        let Some(fold) = self.fold(shard) else {
            return;
        };
        let headroom = fold.budgets().get(budget).map(headroom);
        let reply = BrokerReply::Grant {
            accepted: fold.grants().contains_key(&id),
            headroom: headroom.unwrap_or_default(),
            offset: fold.next_offset(),
        };
        PeerReply::Broker(reply).send(call);
    }

    fn open_first(&mut self, shard: u32, open: RequestOpen, call: PeerCall) {
        let status = self.status(shard, &open.key);
        if !matches!(status, KeyStatus::Unseen) {
            let first = matches!(&status, KeyStatus::Open(held) if *held == open);
            let reply = BrokerReply::OpenFirst { first, status };
            PeerReply::Broker(reply).send(call);
            return;
        }
        self.appends.push(shard, LedgerRecord::Open(open.clone()));
        self.wait(shard, WaitingKind::OpenFirst(open), call);
    }

    fn shard(&self, key: &RequestKey) -> u32 {
        shard_of(&key.team, self.context.settings.budgets.shards)
    }

    fn status(&self, shard: u32, key: &RequestKey) -> KeyStatus {
        let Some(fold) = self.fold(shard) else {
            return KeyStatus::Unseen;
        };
        if let Some(settlement) = fold.settlement(key) {
            return KeyStatus::Settled {
                settlement: settlement.clone(),
                reruns: fold.reruns(key),
            };
        }
        match fold.open_requests(key).first() {
            Some(state) => KeyStatus::Open(state.open.clone()),
            None => KeyStatus::Unseen,
        }
    }

    fn apply(&mut self, shard: u32, records: &[LogRecord]) {
        for record in records {
            let Some(replay) = self.replays.get_mut(shard as usize) else {
                return;
            };
            let applied = match replay.take(record.offset, &record.data) {
                Ok(applied) => applied,
                Err(error) => {
                    follow::note_failure(
                        self.context,
                        &format!("{error}: a newer release wrote it"),
                    );
                    return;
                }
            };
            let Some(applied) = applied else {
                continue;
            };
            self.snapshots[shard as usize].count(&applied.batch);
            self.resolve(shard, &applied.batch, &applied.verdicts);
        }
    }

    /// Answers the calls that waited for the records of `batch`.
    fn resolve(&mut self, shard: u32, batch: &RecordBatch, verdicts: &[RecordVerdict]) {
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            let mut index = 0;
            while index < self.waiting.len() {
                let waiting = &self.waiting[index];
                if waiting.shard != shard || !waiting.kind.matches(record) {
                    index += 1;
                    continue;
                }
                let waiting = self.waiting.swap_remove(index);
                self.reply_waiting(waiting, *verdict);
            }
        }
    }

    fn reply_waiting(&self, waiting: WaitingCall, verdict: RecordVerdict) {
        let reply = match waiting.kind {
            WaitingKind::Grant { id, budget } => {
                self.reply_grant(waiting.shard, id, &budget, waiting.call);
                return;
            }
            WaitingKind::OpenFirst(open) => BrokerReply::OpenFirst {
                first: verdict == RecordVerdict::Accepted,
                status: self.status(waiting.shard, &open.key),
            },
            WaitingKind::Record(_) => BrokerReply::Recorded(verdict),
        };
        PeerReply::Broker(reply).send(waiting.call);
    }

    /// Drops the calls whose callers have given up.
    fn expire_calls(&mut self) {
        self.waiting
            .retain(|waiting| waiting.since.elapsed() < CALL_LIMIT);
    }

    /// Copies the configuration, reclaims grants and appends snapshots for
    /// the shards that this instance is ranked for.
    fn look_after_shards(&mut self) {
        for (index, replay) in self.replays.iter().enumerate() {
            let shard = u32::try_from(index).unwrap_or(u32::MAX);
            let Some(rank) = client::own_rank(self.context, shard) else {
                continue;
            };
            let Some(fold) = replay.fold() else {
                continue;
            };
            self.copier.copy(self.context, self.appends, shard, fold);
            self.reclaims.step(self.context, self.appends, shard, fold);
            if rank == 0 {
                self.snapshots[index].step(self.appends, shard, fold);
            }
        }
    }
}

impl WaitingKind {
    /// Whether `record` is the one waited for.
    fn matches(&self, record: &LedgerRecord) -> bool {
        match (self, record) {
            (Self::Grant { id, .. }, LedgerRecord::Grant(grant)) => grant.id == *id,
            (Self::OpenFirst(waiting), LedgerRecord::Open(open)) => waiting == open,
            (Self::Record(waiting), record) => waiting == record,
            _ => false,
        }
    }
}

/// What a holder needs to know of a budget.
fn headroom(state: &BudgetState) -> LedgerHeadroom {
    LedgerHeadroom {
        credited: state.credited,
        remaining: state.credited.saturating_sub(state.charged),
        free: state.free(),
    }
}

/// Records an event of a grant.
pub fn note_grant(context: &SharedContext, code: EventCode, budget: &BudgetName, detail: String) {
    let fields = EventFields {
        budget: budget.to_string(),
        detail,
        ..EventFields::default()
    };
    context.events.record(code, fields);
}
