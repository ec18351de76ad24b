//! Chat completions under failures of servers and routers. Each claim of an
//! answer is compared with the servers' own records.

use std::thread;
use std::time::Duration;

use hibiscus_router::requests::rerun::FREE_RERUNS;
use hibiscus_support::EngineStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::requests;
use hibiscus_support::requests::CallerReply;
use hibiscus_types::ServerName;

use crate::request_fleet::ANSWER_LENGTH;
use crate::request_fleet::LIST_LAG;
use crate::request_fleet::PROMPT_TAIL;
use crate::request_fleet::SILENCE_MS;
use crate::request_fleet::assert_whole;
use crate::request_fleet::chat_fleet;
use crate::request_fleet::engine_runs;
use crate::request_fleet::impatient_fleet;
use crate::request_fleet::lagging_fleet;
use crate::request_fleet::wait_for;

#[test]
fn a_stream_whose_router_dies_is_answered_whole_by_another() {
    let engines = [
        EngineStandin::start(EngineBehaviour {
            token_interval: Duration::from_millis(30),
            ..EngineBehaviour::default()
        }),
        EngineStandin::start(EngineBehaviour::default()),
    ];
    let (mut fleet, _service) = chat_fleet(3, &engines);
    let address = fleet.address(2);
    let mut callers = Vec::new();
    for index in 0..6 {
        callers.push(thread::spawn(move || {
            let key = format!("stream-{index}");
            let prompt = format!("night{index} {PROMPT_TAIL}");
            (index, requests::stream_chat(address, &key, &prompt))
        }));
    }
    wait_for("running streams", || engines[0].running() > 0);
    fleet.routers.pop().expect("there is a router").kill();
    for caller in callers {
        let (index, reply) = caller.join().expect("the caller ends");
        let marker = format!("night{index}");
        if reply.has_end() {
            assert_whole(&reply, &marker);
            continue;
        }
        let key = format!("stream-{index}");
        let prompt = format!("{marker} {PROMPT_TAIL}");
        // Until the fleet knows of the death, an open may find no witness:
        // the request is then refused, and did not run.
        let before = engine_runs(&engines, &key).len();
        let mut again = CallerReply::default();
        wait_for("a whole answer", || {
            again = requests::stream_chat(fleet.address(0), &key, &prompt);
            if again.outcome == "not-run" {
                assert_eq!(engine_runs(&engines, &key).len(), before, "{again:?}");
                return false;
            }
            true
        });
        assert_whole(&again, &marker);
    }
    // Each key once, by the engine's count, whichever router settled it.
    for index in 0..6 {
        let key = format!("stream-{index}");
        wait_for("the settlement", || !fleet.charges_of(&key).is_empty());
        let charges = fleet.charges_of(&key);
        let tokens = ANSWER_LENGTH as u64;
        assert_eq!(charges.len(), 1, "{key}: {charges:?}");
        assert!((tokens..2 * tokens).contains(&charges[0]), "{charges:?}");
    }
}

#[test]
fn a_retry_that_names_its_tokens_is_continued_at_the_engine() {
    let engines = [EngineStandin::start(EngineBehaviour::default())];
    let (fleet, _service) = chat_fleet(3, &engines);
    let prompt = format!("galaxy {PROMPT_TAIL}");
    let headers = [("x-resume-from", "15")];
    let reply = requests::stream_chat_with(fleet.address(0), "resumed", &prompt, &headers);
    assert_eq!(
        reply.streamed_text(),
        "galaxy.15 galaxy.16 galaxy.17 galaxy.18 galaxy.19 "
    );
    assert_eq!(engine_runs(&engines, "resumed")[0].resumed_from, 15);
}

#[test]
fn a_stream_that_falls_silent_is_given_up_and_not_shown_as_whole() {
    let engines = [
        EngineStandin::start(EngineBehaviour::default()),
        EngineStandin::start(EngineBehaviour::default()),
    ];
    let (fleet, _service) = impatient_fleet(3, &engines, SILENCE_MS);
    let reply = requests::stream_chat(fleet.address(0), "silent", "comet hang len=5");
    assert!(!reply.has_end(), "{reply:?}");
    // Each engine sent one token more before it fell silent.
    assert_eq!(reply.streamed_text(), "comet.0 comet.1 ");
    wait_for("the cancelled runs", || {
        engine_runs(&engines, "silent")
            .iter()
            .all(|run| run.cancelled)
    });
}

#[test]
fn engines_that_all_refuse_ran_nothing_and_the_answer_says_so() {
    let refusing = EngineBehaviour {
        refusing: true,
        ..EngineBehaviour::default()
    };
    let engines = [EngineStandin::start(refusing)];
    let (fleet, _service) = chat_fleet(3, &engines);
    let reply = requests::stream_chat(fleet.address(0), "refused", "star len=3");
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"));
    assert_eq!(engine_runs(&engines, "refused"), Vec::new());
}

#[test]
fn retries_stay_few_with_a_third_of_the_engines_failing() {
    let engines = [
        EngineStandin::start(EngineBehaviour {
            truncate_after: Some(0),
            ..EngineBehaviour::default()
        }),
        EngineStandin::start(EngineBehaviour::default()),
        EngineStandin::start(EngineBehaviour::default()),
    ];
    let (fleet, _service) = chat_fleet(3, &engines);
    let requests_sent = 60;
    let mut answered = 0;
    for index in 0..requests_sent {
        let prompt = format!("frame{index} {PROMPT_TAIL}");
        let reply = requests::stream_chat(fleet.address(0), &format!("frame-{index}"), &prompt);
        if reply.has_end() {
            answered += 1;
        } else {
            assert_ne!(reply.outcome, "not-run", "{reply:?}");
        }
    }
    let attempts: usize = engines.iter().map(|engine| engine.runs().len()).sum();
    assert!(attempts * 10 < requests_sent * 12, "{attempts} attempts");
    assert_eq!(answered, requests_sent);
}

#[test]
fn a_request_that_stops_its_servers_costs_two_and_is_then_refused_everywhere() {
    let mut engines = Vec::new();
    for _engine in 0..5 {
        engines.push(EngineStandin::start(EngineBehaviour {
            token_interval: Duration::from_millis(20),
            ..EngineBehaviour::default()
        }));
    }
    let (fleet, _service) = chat_fleet(3, &engines);
    // Innocent requests that run beside it.
    let mut beside = Vec::new();
    for index in 0..10 {
        let address = fleet.address(index % 3);
        beside.push(thread::spawn(move || {
            let marker = format!("nebula{index}");
            let prompt = format!("{marker} {PROMPT_TAIL}");
            let key = format!("beside-{index}");
            let mut last = CallerReply::default();
            wait_for("a whole answer", || {
                last = requests::stream_chat(address, &key, &prompt);
                assert_ne!(last.code(), "quarantined", "{last:?}");
                last.has_end()
            });
            assert_whole(&last, &marker);
        }));
    }
    for index in 0..6 {
        let key = format!("crash-{index}");
        let reply = requests::stream_chat(fleet.address(index % 3), &key, "boom crash len=9");
        assert!(!reply.has_end(), "{reply:?}");
        assert_ne!(reply.outcome, "not-run", "{reply:?}");
        if index > 0 {
            assert_eq!(reply.code(), "quarantined", "{reply:?}");
            assert_eq!((reply.status, reply.outcome.as_str()), (422, "ran"));
        }
    }
    for caller in beside {
        caller.join().expect("an innocent request is answered");
    }
    let lost = engines.iter().filter(|engine| engine.is_stopped()).count();
    assert_eq!(lost, 2);
}

#[test]
fn an_instance_that_starts_later_refuses_a_quarantined_request_too() {
    let engines = [
        EngineStandin::start(EngineBehaviour::default()),
        EngineStandin::start(EngineBehaviour::default()),
        EngineStandin::start(EngineBehaviour::default()),
    ];
    let (mut fleet, _service) = chat_fleet(3, &engines);
    requests::stream_chat(fleet.address(0), "crash-before", "boom crash len=9");
    fleet.add_router("router-late", "regina");
    fleet.wait_ready();
    let last = fleet.address(3);
    let reply = requests::stream_chat(last, "crash-after", "boom crash len=9");
    assert_eq!(reply.code(), "quarantined", "{reply:?}");
    let lost = engines.iter().filter(|engine| engine.is_stopped()).count();
    assert_eq!(lost, 2);
}

#[test]
fn a_leaving_server_gets_nothing_new_once_the_list_shows_it() {
    let engines = [
        EngineStandin::start(EngineBehaviour::default()),
        EngineStandin::start(EngineBehaviour::default()),
    ];
    let (fleet, _service) = lagging_fleet(3, &engines, LIST_LAG);
    let send = |index: usize| {
        let key = format!("leave-{index}");
        let prompt = format!("moon{index} {PROMPT_TAIL}");
        let reply = requests::stream_chat(fleet.address(0), &key, &prompt);
        assert_whole(&reply, &format!("moon{index}"));
    };
    for index in 0..4 {
        send(index);
    }
    fleet
        .platform
        .list
        .mark_leaving(&ServerName::from("engine-1"));
    // The list shows it after its lag, and it is in force two seconds later.
    thread::sleep(LIST_LAG + Duration::from_secs(2));
    let before = engines[0].runs().len();
    for index in 4..12 {
        send(index);
    }
    assert_eq!(engines[0].runs().len(), before);
}

#[test]
fn a_refused_retry_of_a_request_that_ran_is_not_called_not_run() {
    let engines = [EngineStandin::start(EngineBehaviour::default())];
    let (fleet, _service) = chat_fleet(3, &engines);
    let prompt = format!("orion {PROMPT_TAIL}");
    let first = requests::stream_chat(fleet.address(0), "told", &prompt);
    assert_whole(&first, "orion");
    engines[0].stop();
    // The settlement is on its way to the log; from then on it is "ran".
    wait_for("the truth", || {
        let again = requests::stream_chat(fleet.address(1), "told", &prompt);
        assert!(!again.has_end(), "{again:?}");
        again.code() == "no_server" && again.outcome == "ran"
    });
    assert_eq!(engine_runs(&engines, "told").len(), 1);
}

#[test]
fn deadline_and_priority_reach_the_engine_and_a_deadline_ends_the_run() {
    let engines = [EngineStandin::start(EngineBehaviour {
        token_interval: Duration::from_millis(50),
        ..EngineBehaviour::default()
    })];
    let (fleet, _service) = chat_fleet(3, &engines);
    let headers = [("x-deadline-ms", "900"), ("x-priority", "8")];
    let address = fleet.address(0);
    let reply = requests::stream_chat_with(address, "late", "dusk len=400", &headers);
    assert!(!reply.has_end(), "{reply:?}");
    let runs = engine_runs(&engines, "late");
    assert_eq!(runs[0].priority, "8");
    assert!((1..=900).contains(&runs[0].deadline_ms), "{runs:?}");
    wait_for("the cancelled run", || {
        engine_runs(&engines, "late")
            .iter()
            .all(|run| run.cancelled)
    });
}

#[test]
fn a_caller_that_leaves_has_its_stream_cancelled_at_the_engine() {
    let engines = [EngineStandin::start(EngineBehaviour {
        token_interval: Duration::from_millis(20),
        ..EngineBehaviour::default()
    })];
    let (fleet, _service) = chat_fleet(3, &engines);
    let caller = requests::open_stream(fleet.address(0), "left", "gone len=1500");
    wait_for("some tokens", || {
        engine_runs(&engines, "left")
            .iter()
            .any(|run| run.sent >= 3)
    });
    drop(caller);
    wait_for("the cancelled run", || {
        engine_runs(&engines, "left")
            .iter()
            .all(|run| run.cancelled)
    });
    let sent = engine_runs(&engines, "left")[0].sent;
    assert!(sent < 1_500, "{sent}");
    // Charged for what was generated and no more.
    wait_for("the settlement", || !fleet.charges_of("left").is_empty());
    let charges = fleet.charges_of("left");
    assert_eq!(charges.len(), 1, "{charges:?}");
    assert!((1..1_500).contains(&charges[0]), "{charges:?} for {sent}");
}

#[test]
fn engines_that_check_fencing_numbers_serve_several_routers() {
    let checking = EngineBehaviour {
        checks_fencing: true,
        ..EngineBehaviour::default()
    };
    let engines = [EngineStandin::start(checking)];
    let (fleet, _service) = chat_fleet(3, &engines);
    for index in 0..9 {
        let marker = format!("fence{index}");
        let prompt = format!("{marker} {PROMPT_TAIL}");
        let key = format!("fence-{index}");
        let reply = requests::stream_chat(fleet.address(index % 3), &key, &prompt);
        assert_whole(&reply, &marker);
    }
}

#[test]
fn a_charged_key_runs_again_a_few_times_and_is_then_refused_as_spent() {
    let engines = [EngineStandin::start(EngineBehaviour::default())];
    let (fleet, _service) = chat_fleet(3, &engines);
    let mut answered = 0;
    let mut last = CallerReply::default();
    wait_for("a refusal", || {
        last = requests::stream_chat(fleet.address(0), "again", "nebula len=3");
        answered += usize::from(last.has_end());
        last.code() == "key_spent"
    });
    assert_eq!((last.status, last.outcome.as_str()), (409, "ran"));
    assert!(answered > FREE_RERUNS, "{answered} runs before the refusal");
    let other = requests::stream_chat(fleet.address(0), "fresh", "nebula len=3");
    assert!(other.has_end(), "{other:?}");
}
