//! The routing policy against the simple ones, in virtual time: the same
//! seed gives the same figures on every machine.

use hibiscus_bench::commands::routing;
use hibiscus_bench::routing_run::RoutingResult;
use hibiscus_routing::policy::LagAware;
use hibiscus_routing::policy::LeastReported;
use hibiscus_routing::policy::RandomChoice;
use hibiscus_routing::policy::RoundRobin;

/// Seed of the runs.
const SEED: u64 = 1;

/// The 99th percentile of the time to the first token.
fn tail(result: &RoutingResult) -> f64 {
    routing::percentile(&result.first_tokens, 0.99)
}

#[test]
fn the_policy_beats_every_simple_one_in_every_case() {
    for case in routing::CASES {
        let ours = routing::run::<LagAware>(case, SEED, true);
        let simple = [
            routing::run::<RandomChoice>(case, SEED, false),
            routing::run::<RoundRobin>(case, SEED, false),
            routing::run::<LeastReported>(case, SEED, false),
        ];
        for other in &simple {
            assert!(tail(&ours) < tail(other), "{}", case.name);
            assert!(ours.answered >= other.answered, "{}", case.name);
            assert_eq!(ours.offered, other.offered, "{}", case.name);
        }
        let least_reported = &simple[2];
        assert!(tail(&ours) * 2.0 <= tail(least_reported), "{}", case.name);
        let attempts = ours.offered + ours.failed_attempts;
        assert!(attempts * 10 < ours.offered * 12, "{}", case.name);
    }
}
