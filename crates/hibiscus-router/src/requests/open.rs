//! Reservation, open and settlement of one request.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::shard_of;
use hibiscus_ledger::witness::WitnessAnswer;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestKey;
use hibiscus_types::RequestOutcome;
use hibiscus_types::TokenCount;

use crate::callers::answer::RequestFailure;
use crate::context::RouterContext;
use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::holder::ReserveCall;
use crate::holder::ReserveRefusal;
use crate::ledger::broker::BrokerReply;
use crate::ledger::broker::BrokerRequest;
use crate::ledger::broker::KeyStatus;
use crate::ledger::client;
use crate::operators::metrics;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::requests::CallerRequest;
use crate::witness::WitnessRequest;

/// Time that a witness may take.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a broker may take to read a record back.
const BROKER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which the settlement of a whole answer is repeated.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Delay before it is repeated.
const SETTLE_DELAY: Duration = Duration::from_millis(100);
/// Time that a broker may take to look a key up.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Result of a step. Whoever holds the proof that nothing ran adds it to the
/// failure.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// Sets the request's maximum cost aside.
pub fn reserve(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: &CallerRequest,
) -> Result<TokenReservation> {
    let wait = context.settings.allowance_wait().min(request.remaining());
    let (reply, answered) = mpsc::sync_channel(1);
    let call = ReserveCall {
        team: request.key.team.clone(),
        budget: request.budget.clone(),
        tokens: request.cost,
        deadline: Instant::now() + wait,
        reply,
    };
    if holder.try_send(HolderMessage::Reserve(call)).is_err() {
        return Err(RequestFailure::unknown(
            RefusalReason::Overloaded,
            "failed to take the request: too many wait for allowance",
        ));
    }
    match answered.recv() {
        Ok(Ok(reservation)) => Ok(reservation),
        Ok(Err(ReserveRefusal::Exhausted { offset })) => {
            let mut failure = RequestFailure::unknown(
                RefusalReason::BudgetExhausted,
                format!(
                    "failed to reserve {} tokens: budget `{}` does not cover them",
                    request.cost, request.budget
                ),
            );
            failure.evidence = Some(format!("ledger offset {offset}"));
            Err(failure)
        }
        Ok(Err(ReserveRefusal::Unconfirmed)) | Err(_) => Err(RequestFailure::unknown(
            RefusalReason::BudgetUnconfirmed,
            format!(
                "failed to reserve {} tokens of budget `{}` in time",
                request.cost, request.budget
            ),
        )),
    }
}

/// Ends a reservation of which `charge` was used. The charge shows in the metrics
/// before the request ends.
pub fn end_reservation(
    context: &RouterContext,
    holder: &SyncSender<HolderMessage>,
    reservation: TokenReservation,
    charge: TokenCount,
) {
    metrics::count_charge(context, charge);
    // The holder outlives the requests, so the message arrives.
    let _ended = holder.send(HolderMessage::Settle {
        reservation,
        charge,
    });
}

/// Has the open acknowledged by the grant's witnesses.
pub fn acknowledge_open(
    context: &SharedContext,
    reservation: &TokenReservation,
    open: &RequestOpen,
) -> Result<()> {
    let ask = |witness| WitnessRequest::Open {
        witness,
        open: open.clone(),
    };
    let answers = ask_witnesses(context, &reservation.witnesses, ask);
    if answers.contains(&WitnessAnswer::Sealed) {
        context.sealed_grants.add(reservation.grant);
        if answers.contains(&WitnessAnswer::Acknowledged) {
            // The other witness brings the open to the ledger: it ends there.
            acknowledge_settlement(context, reservation, &not_run(open));
        }
        return Err(RequestFailure::unknown(
            RefusalReason::NotRecorded,
            "failed to record the request: its grant is sealed",
        ));
    }
    if answers.contains(&WitnessAnswer::Acknowledged) {
        return Ok(());
    }
    let record = LedgerRecord::Open(open.clone());
    match read_back(context, &open.key, record) {
        Some(RecordVerdict::Accepted | RecordVerdict::Repeated) => Ok(()),
        Some(verdict) => {
            if verdict == RecordVerdict::Void {
                context.sealed_grants.add(reservation.grant);
            }
            Err(RequestFailure::unknown(
                RefusalReason::NotRecorded,
                "failed to record the request: the ledger refused its open",
            ))
        }
        None => Err(RequestFailure::unknown(
            RefusalReason::NotRecorded,
            "failed to record the request: neither a witness nor the log answered",
        )),
    }
}

/// The end of a request that was opened and not sent.
fn not_run(open: &RequestOpen) -> RequestSettlement {
    RequestSettlement {
        key: open.key.clone(),
        grant: open.grant,
        attempt: open.attempt,
        reserved: open.reserved,
        charge: TokenCount::ZERO,
        end: SettledEnd::NotRun,
        answer: None,
    }
}

/// Has the settlement acknowledged by a witness, or by a broker when no
/// witness answers; false when nobody does.
pub fn acknowledge_settlement(
    context: &SharedContext,
    reservation: &TokenReservation,
    settlement: &RequestSettlement,
) -> bool {
    let ask = |witness| WitnessRequest::Settle {
        witness,
        settlement: settlement.clone(),
    };
    let answers = ask_witnesses(context, &reservation.witnesses, ask);
    if answers.contains(&WitnessAnswer::Acknowledged) {
        return true;
    }
    let record = LedgerRecord::Settle(settlement.clone());
    read_back(context, &settlement.key, record).is_some()
}

/// Has a broker append the record and read it back; `None` when the log did
/// not answer in time, though it may hold the record.
fn read_back(
    context: &SharedContext,
    key: &RequestKey,
    record: LedgerRecord,
) -> Option<RecordVerdict> {
    let shard = shard_of(&key.team, context.settings.budgets.shards);
    let request = BrokerRequest::Record { shard, record };
    match client::call(context, shard, &request, BROKER_TIMEOUT) {
        Some(BrokerReply::Recorded(verdict)) => Some(verdict),
        _ => None,
    }
}

/// Asks all witnesses at once and collects the answers that come.
pub fn ask_witnesses<F>(
    context: &SharedContext,
    witnesses: &[IncarnationId],
    ask: F,
) -> Vec<WitnessAnswer>
where
    F: Fn(IncarnationId) -> WitnessRequest,
{
    let mut pending = Vec::with_capacity(witnesses.len());
    for witness in witnesses {
        let Some(address) = witness_address(context, *witness) else {
            continue;
        };
        let request = PeerRequest::Witness(ask(*witness));
        let Ok(call) = request.start(context, address, WITNESS_TIMEOUT) else {
            continue;
        };
        pending.push(call);
    }
    let mut answers = Vec::with_capacity(pending.len());
    for call in pending {
        let Ok(PeerReply::Witness(reply)) = PeerReply::receive(call) else {
            continue;
        };
        answers.push(reply.answer);
    }
    answers
}

/// Where the witness is reached.
fn witness_address(context: &SharedContext, witness: IncarnationId) -> Option<SocketAddr> {
    let fleet = context.fleet.lock();
    fleet.instance_of(witness).map(|instance| instance.peers)
}

/// As [`acknowledge_settlement`], repeated while nobody answers: without it a
/// whole answer would be withheld from a caller that still waits.
pub fn settle_answer(
    context: &SharedContext,
    request: &CallerRequest,
    reservation: &TokenReservation,
    settlement: &RequestSettlement,
) -> bool {
    let deadline = Instant::now() + SETTLE_LIMIT.min(request.remaining());
    loop {
        if acknowledge_settlement(context, reservation, settlement) {
            return true;
        }
        if Instant::now() >= deadline || request.presence.has_left() {
            return false;
        }
        std::thread::sleep(SETTLE_DELAY);
    }
}

/// Compares the claim "not run" with what the brokers hold of the key: an
/// earlier sending may have run, whatever became of this one. `own` is the
/// grant of this sending's open.
pub fn check_claim(
    context: &SharedContext,
    request: &CallerRequest,
    own: Option<GrantId>,
    failure: RequestFailure,
) -> RequestFailure {
    if failure.outcome() != RequestOutcome::NotRun {
        return failure;
    }
    let shard = shard_of(&request.key.team, context.settings.budgets.shards);
    let lookup = BrokerRequest::Lookup {
        key: request.key.clone(),
    };
    match client::call(context, shard, &lookup, LOOKUP_TIMEOUT) {
        Some(BrokerReply::Lookup(KeyStatus::Unseen)) => failure,
        Some(BrokerReply::Lookup(KeyStatus::Open(held))) if Some(held.grant) == own => failure,
        Some(BrokerReply::Lookup(KeyStatus::Settled { .. })) => failure.proved_ran(),
        _ => failure.doubted(),
    }
}

/// Records an event of a request.
pub fn note(context: &SharedContext, code: EventCode, request: &CallerRequest, server: &str) {
    let fields = EventFields {
        request: request.key.to_string(),
        team: request.key.team.to_string(),
        budget: request.budget.to_string(),
        server: server.to_owned(),
        ..EventFields::default()
    };
    context.events.record(code, fields);
}
