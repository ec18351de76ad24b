//! Records for the ledger's tests.

use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::BudgetCredit;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::record::TopUpId;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;

/// The one budget.
pub(crate) fn budget() -> BudgetName {
    BudgetName::from("shop-tokens")
}

/// The key numbered `number`.
pub(crate) fn key(number: u64) -> RequestKey {
    RequestKey::new("shop".into(), format!("key-{number}"))
}

/// The process numbered `number`.
pub(crate) fn process(number: u128) -> IncarnationId {
    IncarnationId::from_u128(number)
}

/// A top-up.
pub(crate) fn credit(id: &str, tokens: u64) -> LedgerRecord {
    LedgerRecord::Credit(BudgetCredit {
        id: TopUpId(id.to_owned()),
        team: "shop".into(),
        budget: budget(),
        tokens: TokenCount::new(tokens),
    })
}

/// The grant numbered `id` of `tokens` for `holder`.
pub(crate) fn grant(id: u128, holder: u128, tokens: u64, witnesses: &[u128]) -> AllowanceGrant {
    AllowanceGrant {
        id: GrantId::from_u128(id),
        budget: budget(),
        holder: process(holder),
        instance: "router".into(),
        tokens: TokenCount::new(tokens),
        witnesses: witnesses.iter().map(|number| process(*number)).collect(),
    }
}

/// An open of `key` under the grant `id`.
pub(crate) fn open(number: u64, id: GrantId, reserved: u64) -> RequestOpen {
    RequestOpen {
        key: key(number),
        grant: id,
        reserved: TokenCount::new(reserved),
        server: "server".into(),
        exclusive: false,
        attempt: 0,
        opened: UnixMillis::new(1),
    }
}

/// The settlement of `open` that charges `charge`.
pub(crate) fn settle(open: &RequestOpen, charge: u64) -> RequestSettlement {
    RequestSettlement {
        key: open.key.clone(),
        grant: open.grant,
        attempt: open.attempt,
        reserved: open.reserved,
        charge: TokenCount::new(charge),
        end: SettledEnd::Ran,
        answer: None,
    }
}

/// A batch of `incarnation`.
pub(crate) fn batch(incarnation: u128, sequence: u64, records: Vec<LedgerRecord>) -> RecordBatch {
    RecordBatch {
        incarnation: process(incarnation),
        sequence,
        records,
    }
}
