//! The targets of the sizing policy in use, at a fixed seed.

use hibiscus_bench::sizing::case::REQUEST_RATE;
use hibiscus_bench::sizing::case::SizingCase;
use hibiscus_bench::sizing::fleet::SizingCounts;
use hibiscus_bench::sizing::fleet::SizingFleet;
use hibiscus_ledger::sizing::HorizonShares;

/// Seed of the runs.
const SEED: u64 = 1;

fn run(case: SizingCase) -> SizingCounts {
    SizingFleet::new(case, HorizonShares, REQUEST_RATE, SEED).run()
}

#[test]
fn a_log_outage_of_ten_minutes_refuses_less_than_one_in_a_thousand_falsely() {
    let counts = run(SizingCase::LogOutage);
    assert_eq!(counts.overspend_tokens, 0);
    assert!(counts.false_refusals * 1_000 < counts.offered, "{counts:?}");
}

#[test]
fn the_last_percent_of_a_budget_is_nearly_all_usable() {
    let counts = run(SizingCase::LastPercent);
    assert_eq!(counts.overspend_tokens, 0);
    assert!(counts.spent * 100 >= counts.credited * 99, "{counts:?}");
}
