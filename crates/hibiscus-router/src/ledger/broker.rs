//! Broker duty: folds the ledger streams and answers other instances.

use std::collections::BTreeMap;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_ledger::fold::BudgetState;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::BudgetCredit;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::TopUpId;
use hibiscus_ledger::shard_of;
use hibiscus_ledger::stream_of;
use hibiscus_peer::PeerCall;
use hibiscus_platform::log::LogRecord;
use hibiscus_platform::log::LogService;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use serde::Deserialize;
use serde::Serialize;

use crate::context::SharedContext;
use crate::ledger::append::AppendRings;
use crate::peer::PeerReply;

/// Time between looks at configuration and stop flag.
const TICK: Duration = Duration::from_millis(100);
/// Time that a read waits for a record.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What an instance asks of a broker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum BrokerRequest {
    /// Append a grant and answer its verdict.
    Grant {
        /// The shard of the budget.
        shard: u32,
        /// The grant.
        grant: AllowanceGrant,
    },
    /// Append an open and answer whether it is the first of its key.
    OpenFirst {
        /// The open.
        open: RequestOpen,
    },
    /// Append records that need no verdict.
    Append {
        /// The shard.
        shard: u32,
        /// The records.
        records: Vec<LedgerRecord>,
    },
    /// Answer what the ledger holds of a key.
    Lookup {
        /// The key.
        key: RequestKey,
    },
    /// Answer the state of the budgets of a shard.
    Budgets {
        /// The shard.
        shard: u32,
    },
}

/// What the ledger holds of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeyStatus {
    /// Nothing.
    Unseen,
    /// An open without its settlement.
    Open(RequestOpen),
    /// A settlement.
    Settled(RequestSettlement),
}

/// A broker's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum BrokerReply {
    /// The grant's verdict.
    Grant {
        /// Whether the grant may be spent.
        accepted: bool,
        /// Tokens that a further grant could take.
        free: TokenCount,
        /// The offset that proves it.
        offset: u64,
    },
    /// The open's verdict.
    OpenFirst {
        /// Whether the request may be sent to a server.
        first: bool,
        /// What the ledger holds of the key.
        status: KeyStatus,
    },
    /// The records are on their way to the log.
    Appending,
    /// What the ledger holds of the key.
    Lookup(KeyStatus),
    /// State of the budgets at an offset.
    Budgets {
        /// The offset of the next record.
        offset: u64,
        /// The budgets by name.
        budgets: BTreeMap<BudgetName, BudgetState>,
    },
}

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
}

/// A call whose record has not been read back yet.
struct WaitingOpen {
    open: RequestOpen,
    call: PeerCall,
}

/// State of the duty.
struct BrokerState<'a> {
    context: &'a SharedContext,
    appends: &'a AppendRings,
    folds: Vec<LedgerFold>,
    waiting_grants: BTreeMap<GrantId, PeerCall>,
    waiting_opens: Vec<WaitingOpen>,
    credited_version: u64,
}

/// Answers calls until the process ends.
pub fn run(context: &SharedContext, ring: &Receiver<BrokerMessage>, appends: &AppendRings) {
    let shards = context.settings.budgets.shards as usize;
    let mut state = BrokerState {
        context,
        appends,
        folds: vec![LedgerFold::default(); shards],
        waiting_grants: BTreeMap::new(),
        waiting_opens: Vec::new(),
        credited_version: 0,
    };
    let mut last_tick = Instant::now();
    while !context.is_ended() {
        if let Ok(message) = ring.recv_timeout(TICK) {
            state.take(message);
        }
        if last_tick.elapsed() >= TICK {
            last_tick = Instant::now();
            state.copy_credits();
        }
    }
}

impl BrokerState<'_> {
    fn take(&mut self, message: BrokerMessage) {
        match message {
            BrokerMessage::Call { request, call } => self.answer(request, call),
            BrokerMessage::Page { shard, records } => self.apply(shard, &records),
        }
    }

    fn answer(&mut self, request: BrokerRequest, call: PeerCall) {
        match request {
            BrokerRequest::Grant { shard, grant } => self.grant(shard, grant, call),
            BrokerRequest::OpenFirst { open } => self.open_first(open, call),
            BrokerRequest::Append { shard, records } => {
                for record in records {
                    self.appends.push(shard, record);
                }
                PeerReply::Broker(BrokerReply::Appending).send(call);
            }
            BrokerRequest::Lookup { key } => {
                let reply = BrokerReply::Lookup(self.status(&key));
                PeerReply::Broker(reply).send(call);
            }
            BrokerRequest::Budgets { shard } => {
                let fold = &self.folds[shard as usize];
                let reply = BrokerReply::Budgets {
                    offset: fold.next_offset(),
                    budgets: fold.budgets().clone(),
                };
                PeerReply::Broker(reply).send(call);
            }
        }
    }

    fn grant(&mut self, shard: u32, grant: AllowanceGrant, call: PeerCall) {
        let known = self.folds[shard as usize].grants().contains_key(&grant.id);
        if known {
            self.reply_grant(shard, &grant.id, &grant.budget, call);
            return;
        }
        self.waiting_grants.insert(grant.id, call);
        self.appends.push(shard, LedgerRecord::Grant(grant));
    }

    fn reply_grant(&self, shard: u32, id: &GrantId, budget: &BudgetName, call: PeerCall) {
        let fold = &self.folds[shard as usize];
        let free = fold
            .budgets()
            .get(budget)
            .map_or(TokenCount::ZERO, BudgetState::free);
        let reply = BrokerReply::Grant {
            accepted: fold.grants().contains_key(id),
            free,
            offset: fold.next_offset(),
        };
        PeerReply::Broker(reply).send(call);
    }

    fn open_first(&mut self, open: RequestOpen, call: PeerCall) {
        let status = self.status(&open.key);
        if !matches!(status, KeyStatus::Unseen) {
            let first = matches!(&status, KeyStatus::Open(held) if *held == open);
            let reply = BrokerReply::OpenFirst { first, status };
            PeerReply::Broker(reply).send(call);
            return;
        }
        let shard = self.shard(&open.key);
        self.appends.push(shard, LedgerRecord::Open(open.clone()));
        self.waiting_opens.push(WaitingOpen { open, call });
    }

    fn shard(&self, key: &RequestKey) -> u32 {
        shard_of(&key.team, self.context.settings.budgets.shards)
    }

    fn status(&self, key: &RequestKey) -> KeyStatus {
        let fold = &self.folds[self.shard(key) as usize];
        if let Some(settlement) = fold.settlement(key) {
            return KeyStatus::Settled(settlement.clone());
        }
        match fold.open_requests(key).first() {
            Some(state) => KeyStatus::Open(state.open.clone()),
            None => KeyStatus::Unseen,
        }
    }

    fn apply(&mut self, shard: u32, records: &[LogRecord]) {
        for record in records {
            let batch = match codec::decode::<RecordBatch>(&record.data) {
                Ok(batch) => batch,
                Err(error) => {
                    note_failure(self.context, &error.to_string());
                    self.folds[shard as usize].skip(record.offset);
                    continue;
                }
            };
            let verdicts = self.folds[shard as usize].apply(record.offset, &batch);
            self.resolve(shard, &batch, &verdicts);
        }
    }

    /// Answers the calls that waited for the records of `batch`.
    fn resolve(&mut self, shard: u32, batch: &RecordBatch, verdicts: &[RecordVerdict]) {
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            match record {
                LedgerRecord::Grant(grant) => {
                    let Some(call) = self.waiting_grants.remove(&grant.id) else {
                        continue;
                    };
                    self.reply_grant(shard, &grant.id, &grant.budget, call);
                }
                LedgerRecord::Open(open) => self.resolve_open(open, *verdict),
                _ => {}
            }
        }
    }

    fn resolve_open(&mut self, open: &RequestOpen, verdict: RecordVerdict) {
        let found = self
            .waiting_opens
            .iter()
            .position(|waiting| waiting.open == *open);
        let Some(index) = found else {
            return;
        };
        let waiting = self.waiting_opens.swap_remove(index);
        let reply = BrokerReply::OpenFirst {
            first: verdict == RecordVerdict::Accepted,
            status: self.status(&open.key),
        };
        PeerReply::Broker(reply).send(waiting.call);
    }

    /// Copies accepted top-ups into the ledger, once for each version of the
    /// configuration; the fold ignores the copies of other brokers.
    fn copy_credits(&mut self) {
        let config = self.context.config.get();
        if config.version == self.credited_version {
            return;
        }
        self.credited_version = config.version;
        for top_up in config.top_ups.values() {
            let Some(budget) = config.budgets.get(&top_up.budget) else {
                continue;
            };
            let shard = shard_of(&budget.team, self.context.settings.budgets.shards);
            let id = TopUpId(top_up.id.clone());
            if self.folds[shard as usize].has_credit(&id) {
                continue;
            }
            let credit = BudgetCredit {
                id,
                team: budget.team.clone(),
                budget: budget.name.clone(),
                tokens: top_up.tokens,
            };
            self.appends.push(shard, LedgerRecord::Credit(credit));
        }
    }
}

/// Reads a shard's stream and passes its records to the broker duty.
pub fn follow(context: &SharedContext, shard: u32, ring: &SyncSender<BrokerMessage>) {
    let stream = stream_of(shard);
    let mut next = 0;
    while !context.is_ended() {
        let page = match context.log.read(&stream, next, POLL_WAIT) {
            Ok(page) => page,
            Err(error) => {
                note_failure(context, &error.to_string());
                thread::sleep(RETRY_DELAY);
                continue;
            }
        };
        let Some(last) = page.records.last() else {
            continue;
        };
        next = next.max(last.offset + 1);
        let records = page.records;
        if ring.send(BrokerMessage::Page { shard, records }).is_err() {
            return;
        }
    }
}

/// Records that a stream could not be read.
fn note_failure(context: &SharedContext, detail: &str) {
    let fields = EventFields {
        detail: detail.to_owned(),
        ..EventFields::default()
    };
    context.events.record(EventCode::LedgerUnreadable, fields);
}
