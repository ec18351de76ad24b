//! What news cost the thread that serves requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use hibiscus_ledger::account::AccountRecord;
use hibiscus_traffic::budgets::BudgetDesk;
use hibiscus_traffic::callers::CallerBounds;
use hibiscus_traffic::clock::MachineClock;
use hibiscus_traffic::dialect::AnswerSigns;
use hibiscus_traffic::dialect::CallerSigns;
use hibiscus_traffic::dialect::RequestDialect;
use hibiscus_traffic::dialect::ServerSigns;
use hibiscus_traffic::dialect::SignFault;
use hibiscus_traffic::directory::InstanceDirectory;
use hibiscus_traffic::model::CallerLimits;
use hibiscus_traffic::model::FleetConfig;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_traffic::model::TeamRule;
use hibiscus_traffic::retries::RetryBound;
use hibiscus_traffic::retries::RetryCounter;
use hibiscus_traffic::state::TrafficParts;
use hibiscus_traffic::state::TrafficState;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use http::HeaderMap;

const TEAMS: u64 = 24;

/// Spells nothing: these tests send no request.
struct SilentDialect;

impl RequestDialect for SilentDialect {
    fn caller_signs(&self, _headers: &HeaderMap) -> Result<CallerSigns, SignFault> {
        Ok(CallerSigns::default())
    }

    fn strip_own(&self, _headers: &mut HeaderMap) {}

    fn set_server_signs(&self, _signs: &ServerSigns<'_>, _headers: &mut HeaderMap) {}

    fn answer_signs(&self, _headers: &HeaderMap) -> AnswerSigns {
        AnswerSigns::default()
    }

    fn set_answer_id(&self, _id: &str, _headers: &mut HeaderMap) {}
}

fn instance(number: u16) -> InstanceEntry {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    InstanceEntry {
        name: format!("front-{number}").as_str().into(),
        incarnation: IncarnationId::from_u128(u128::from(number) + 1),
        callers: address(1_000 + number),
        readiness: address(2_000 + number),
        peers: address(3_000 + number),
        pin: [0; 32],
        data_centre: "a".into(),
        leaving: false,
    }
}

fn config() -> FleetConfig {
    let team = |number: u64| TeamRule {
        name: format!("team-{number}").as_str().into(),
        keys: Vec::new(),
        priority: None,
        prepaid: Some(TokenCount::new(1_000_000)),
    };
    FleetConfig {
        version: 1,
        routes: Vec::new(),
        connections: BTreeMap::new(),
        engines: BTreeMap::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        teams: (0..TEAMS).map(|number| Arc::new(team(number))).collect(),
        needs_key: true,
    }
}

fn state() -> TrafficState<SilentDialect> {
    let (outbox, _batches) = mpsc::sync_channel(16);
    let own = instance(0);
    let clock = MachineClock::of_this_boot();
    let desk = BudgetDesk::new(own.incarnation, own.name.clone(), clock, outbox);
    TrafficState::new(TrafficParts {
        dialect: SilentDialect,
        data_centre: own.data_centre.clone(),
        budgets: desk,
        retries: RetryCounter::new(RetryBound {
            share: 0.2,
            slack: 54.0,
            window: Duration::from_secs(10),
        }),
        directory: InstanceDirectory::new(own),
        bounds: CallerBounds::of_machine(88 << 20, 4_100),
    })
}

/// Guards against processor time that grows with the records of all instances
/// times all budgets (issue 17, SHORT on seamline-grown).
#[test]
fn records_of_other_instances_cause_no_look_at_each_budget() {
    let state = state();
    state.apply(TrafficUpdate::Config(Arc::new(config())));
    state.apply(TrafficUpdate::AccountsCurrent);
    let before = state.budgets.reviews();
    let draw = |number: u64| {
        let record = AccountRecord::Draw {
            budget: format!("team-{}", number % TEAMS).as_str().into(),
            holder: IncarnationId::from_u128(100),
            machine: "front-9".into(),
            serial: number,
            tokens: TokenCount::new(1),
        };
        codec::encode(&vec![record]).expect("a record is encoded")
    };
    for page in 0..10 {
        let first = page * 75;
        let records = (first..first + 75).map(draw).collect();
        state.apply(TrafficUpdate::Accounts { first, records });
    }
    assert_eq!(state.budgets.reviews(), before);
}
