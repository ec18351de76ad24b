//! Changes while the daemon runs: configuration, servers, connections, shutdown.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use platform_standins::BackendBehaviour;
use platform_standins::FrontProcess;
use platform_standins::front::FrontPorts;
use platform_standins::front::exchange;

use crate::front::PREPAID;
use crate::front::Platform;
use crate::front::UPDATE_LIMIT;
use crate::front::config;
use crate::front::request;
use crate::front::status;
use crate::front::wait_for;
use crate::front::write_server;

/// The time limit of a request head does not apply to idle connections.
#[test]
fn a_slow_request_head_ends_its_connection_and_an_idle_connection_stays_open() {
    let platform = Platform::start();
    let callers = platform.front.ports.callers;
    let open = || {
        let stream = TcpStream::connect(callers).expect("a connection");
        let limit = Some(Duration::from_secs(6));
        stream.set_read_timeout(limit).expect("a time-out");
        stream
    };
    let mut idle = open();
    let mut slow = open();
    let started = Instant::now();
    slow.write_all(b"GET /often/x HTTP/1.1\r\nHost: ")
        .expect("bytes are sent");
    let mut rest = Vec::new();
    let ended = slow.read_to_end(&mut rest);
    assert!(ended.is_ok(), "{ended:?}");
    // The configuration's header timeout is 3 s.
    let taken = started.elapsed();
    assert!(taken >= Duration::from_millis(2_900), "{taken:?}");
    assert!(taken < Duration::from_millis(4_500), "{taken:?}");
    let request = request("/often/x", "id-idle", "");
    idle.write_all(request.as_bytes()).expect("bytes are sent");
    let mut answer = String::new();
    idle.read_to_string(&mut answer).expect("a response");
    assert_eq!(status(&answer), "200", "{answer}");
}

#[test]
fn a_configuration_is_in_force_in_time_also_after_its_history_is_lost() {
    let platform = Platform::start();
    let extra = r#",{"name":"r-n","hostname":"h.example","path-prefix":"/new/","route-type":"idempotent","timeout-ms":3000,"target-latency-ms":500,"priority":1,"service":"plain","max-attempts":1}"#;
    let written = Instant::now();
    platform
        .store
        .write("keyed.op", "config", config(2, PREPAID, extra).as_bytes());
    wait_for("version 2", || {
        status(&platform.call("/new/x", "id-1", "")) == "200"
    });
    assert!(written.elapsed() < UPDATE_LIMIT, "{:?}", written.elapsed());
    platform.store.expire_history("keyed.op");
    platform
        .store
        .write("keyed.op", "config", config(3, PREPAID, "").as_bytes());
    wait_for("version 3", || {
        status(&platform.call("/new/x", "id-2", "")) == "404"
    });
    // An older version and an invalid configuration have no effect.
    platform
        .store
        .write("keyed.op", "config", config(2, PREPAID, extra).as_bytes());
    platform.store.write("keyed.op", "config", b"{broken");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(status(&platform.call("/new/x", "id-3", "")), "404");
    assert_eq!(status(&platform.call("/once/x", "id-4", "")), "200");
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let platform = Platform::start();
    platform.add_second_server();
    write_server(
        &platform.store,
        "i-plain",
        "plain",
        &platform.plain,
        "draining",
    );
    thread::sleep(UPDATE_LIMIT);
    let before = platform.plain.requests().len();
    for number in 0..8 {
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&answer), "200", "{answer}");
    }
    assert_eq!(platform.plain.requests().len(), before);
    platform.store.write("keyed.servers", "i-second", b"");
    thread::sleep(UPDATE_LIMIT);
    assert_eq!(status(&platform.call("/once/x", "id-9", "")), "503");
}

#[test]
fn a_graceful_shutdown_completes_the_requests_in_progress() {
    let mut platform = Platform::start();
    platform
        .engine
        .set_behaviour(BackendBehaviour::Events { count: 120 });
    let callers = platform.front.ports.callers;
    let streams: Vec<_> = (0..10)
        .map(|number| {
            let text = request(
                "/stream/x",
                &format!("id-{number}"),
                "Token-Counts: 10,360\r\n",
            );
            thread::spawn(move || exchange(callers, &text).unwrap_or_default())
        })
        .collect();
    wait_for("the streams", || platform.engine.requests().len() == 10);
    platform.front.signal(Signal::SIGTERM);
    wait_for("the end of readiness", || !platform.front.is_ready());
    for stream in streams {
        let answer = stream.join().expect("the caller ends");
        assert!(
            answer.contains("id: 119\n") && answer.ends_with("0\r\n\r\n"),
            "{answer}"
        );
    }
    let ended = platform
        .front
        .wait(Duration::from_secs(8))
        .expect("the process ends");
    assert_eq!(ended.code(), Some(0));
}

#[test]
fn the_directory_lists_serving_instances_and_drops_a_killed_one() {
    let platform = Platform::start();
    let mut other = FrontProcess::start("front-2", FrontPorts::find(), platform.store.address());
    other.wait_ready();
    let directory = platform.front.ports.directory;
    let addresses = || {
        let text = "GET /hibiscusswitch/resolve?name=h.example&region=r&zone=a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(directory, text).unwrap_or_default()
    };
    let second = other.ports.callers.to_string();
    wait_for("the second instance", || addresses().contains(&second));
    assert!(addresses().contains(&platform.front.ports.callers.to_string()));
    other.kill();
    let killed = Instant::now();
    wait_for("its removal", || !addresses().contains(&second));
    assert!(killed.elapsed() < UPDATE_LIMIT, "{:?}", killed.elapsed());
}
