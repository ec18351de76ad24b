//! Bounds of retries and of keys.

use hibiscus_request::retry::RetryBudget;
use hibiscus_request::window;
use hibiscus_request::window::KEY_WINDOW;
use hibiscus_request::window::KeyAge;
use hibiscus_types::UnixMillis;

/// A key of version 7 stamped at [`STAMPED`].
const KEY: &str = "01890a5d-ac96-774b-bcce-b302099a8057";
/// The first 48 bits of [`KEY`].
const STAMPED: UnixMillis = UnixMillis::new(0x0189_0a5d_ac96);

#[test]
fn retries_stay_within_a_tenth_of_the_requests_and_a_burst() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _request in 0..1_000 {
        budget.count_request();
        while budget.take_retry() {
            retries += 1;
        }
    }
    assert_eq!(retries, 103);
}

#[test]
fn a_quiet_time_saves_up_no_more_than_a_burst() {
    let mut budget = RetryBudget::default();
    for _request in 0..10_000 {
        budget.count_request();
    }
    let mut retries = 0;
    while budget.take_retry() {
        retries += 1;
    }
    assert_eq!(retries, 10);
}

#[test]
fn a_time_ordered_key_is_used_only_within_its_window() {
    assert_eq!(window::check_key_age(KEY, STAMPED), KeyAge::Valid);
    let last = STAMPED.after(KEY_WINDOW);
    assert_eq!(window::check_key_age(KEY, last), KeyAge::Valid);
    let late = UnixMillis::new(last.get() + 1);
    assert_eq!(window::check_key_age(KEY, late), KeyAge::Expired);
    let early = UnixMillis::new(STAMPED.get() - 3_600_001);
    assert_eq!(window::check_key_age(KEY, early), KeyAge::InFuture);
}

#[test]
fn a_key_without_a_time_is_used_at_any_time() {
    for key in ["order-7", "", "01890a5d-ac96-474b-bcce-b302099a8057"] {
        assert_eq!(window::check_key_age(key, STAMPED), KeyAge::Valid);
    }
}
