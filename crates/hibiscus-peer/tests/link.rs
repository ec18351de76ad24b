//! The link between processes: refusals, slow peers, restarts and incomplete
//! messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventRecorder;
use hibiscus_peer::LinkError;
use hibiscus_peer::LinkKeys;
use hibiscus_peer::LinkOptions;
use hibiscus_peer::PeerCall;
use hibiscus_peer::PeerLink;
use hibiscus_support::keys::FleetAuthority;
use hibiscus_support::keys::InstanceKeys;

/// Timeout of calls that expect a reply.
const REPLY_LIMIT: Duration = Duration::from_secs(10);
/// Timeout of calls that expect no reply.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// Most calls in progress to one peer.
const CALL_LIMIT: usize = 4_096;
/// Time within which a restarted peer must be reachable again.
const RESTART_LIMIT: Duration = Duration::from_secs(20);

/// Opens a link on `listen`.
fn open(
    keys: &InstanceKeys,
    listen: SocketAddr,
) -> Result<(PeerLink, Receiver<PeerCall>), LinkError> {
    let (inbox, calls) = mpsc::sync_channel(4 * CALL_LIMIT);
    let events = Arc::new(EventRecorder::new("test"));
    let options = LinkOptions {
        listen,
        keys: LinkKeys {
            authority: &keys.authority,
            certificate: &keys.certificate,
            key: &keys.key,
        },
        events: &events,
    };
    Ok((PeerLink::start(&options, inbox)?, calls))
}

/// Returns a loopback address with a free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Opens a link on a free port.
fn open_any(keys: &InstanceKeys) -> (PeerLink, Receiver<PeerCall>) {
    open(keys, any_port()).expect("the link opens")
}

/// Replies to each call with its own body.
fn echo(calls: Receiver<PeerCall>) {
    thread::spawn(move || {
        for call in calls {
            let body = call.body.clone();
            call.reply(body);
        }
    });
}

#[test]
fn each_call_receives_the_reply_to_its_own_body() {
    let fleet = FleetAuthority::generate();
    let (one, _calls) = open_any(&fleet.issue());
    let (other, calls) = open_any(&fleet.issue());
    echo(calls);
    let mut pending = Vec::new();
    for number in 0..200u32 {
        let body = number.to_le_bytes().to_vec();
        let call = one.start_call(other.address(), body.clone(), REPLY_LIMIT);
        pending.push((body, call.expect("the call starts")));
    }
    for (body, call) in pending {
        assert_eq!(call.wait().expect("the reply comes"), body);
    }
}

#[test]
fn a_process_of_another_fleet_is_refused_in_both_directions() {
    let (own, own_calls) = open_any(&FleetAuthority::generate().issue());
    let (foreign, foreign_calls) = open_any(&FleetAuthority::generate().issue());
    let inward = foreign.call(own.address(), b"grant".to_vec(), REPLY_LIMIT);
    assert!(matches!(inward, Err(LinkError::NoReply)), "{inward:?}");
    let outward = own.call(foreign.address(), b"grant".to_vec(), REPLY_LIMIT);
    assert!(matches!(outward, Err(LinkError::NoReply)), "{outward:?}");
    assert!(own_calls.try_recv().is_err(), "a foreign call was received");
    assert!(foreign_calls.try_recv().is_err(), "a call was sent");
}

#[test]
fn the_error_names_the_key_that_cannot_be_used() {
    let fleet = FleetAuthority::generate();
    let good = fleet.issue();
    let garbled = |part: &str| InstanceKeys {
        authority: if part == "authority" {
            "no PEM".to_owned()
        } else {
            good.authority.clone()
        },
        certificate: if part == "certificate" {
            good.certificate.replace('M', "")
        } else {
            good.certificate.clone()
        },
        key: if part == "key" {
            good.key[..40].to_owned()
        } else {
            good.key.clone()
        },
    };
    let cases = [
        (
            fleet.issue_expired(),
            "failed to use the link's certificate: it has expired",
        ),
        (
            fleet.issue_named("another-fleet"),
            "failed to use the link's certificate: it does not name `hibiscus-fleet`",
        ),
        (
            garbled("authority"),
            "failed to use the link's authority: it must be a certificate as one PEM block",
        ),
        (
            garbled("key"),
            "failed to use the link's key: it must be a private key as one PEM block",
        ),
    ];
    for (keys, message) in cases {
        let error = open(&keys, any_port()).map(|_link| ()).expect_err(message);
        assert_eq!(error.to_string(), message);
    }
    let broken = open(&garbled("certificate"), any_port()).map(|_link| ());
    let message = broken.expect_err("it is garbled").to_string();
    assert!(message.contains("the link's certificate"), "{message}");
}

#[test]
fn a_peer_that_does_not_reply_delays_no_other_peer() {
    let fleet = FleetAuthority::generate();
    let (own, _calls) = open_any(&fleet.issue());
    let (silent, _unread) = open_any(&fleet.issue());
    let (quick, calls) = open_any(&fleet.issue());
    echo(calls);
    let mut waiting = Vec::new();
    for _call in 0..500 {
        let call = own.start_call(silent.address(), b"wait".to_vec(), REPLY_LIMIT);
        waiting.push(call.expect("the call starts"));
    }
    for _call in 0..100 {
        let reply = own.call(quick.address(), b"now".to_vec(), REPLY_LIMIT);
        assert_eq!(reply.expect("the quick peer replies"), b"now");
    }
}

#[test]
fn calls_to_one_peer_are_bounded() {
    let fleet = FleetAuthority::generate();
    let (own, _calls) = open_any(&fleet.issue());
    let (silent, unread) = open_any(&fleet.issue());
    let held = own.start_call(silent.address(), b"wait".to_vec(), REPLY_LIMIT);
    let first = unread.recv_timeout(REPLY_LIMIT);
    assert!(held.is_ok() && first.is_ok(), "the link is not up");
    let mut waiting = Vec::new();
    for _call in 0..2 * CALL_LIMIT {
        let call = own.start_call(silent.address(), b"wait".to_vec(), REPLY_LIMIT);
        if let Ok(call) = call {
            waiting.push(call);
        }
    }
    let last = waiting.pop().expect("calls were started");
    assert!(last.wait().is_err(), "a call over the limit got a reply");
    let mut received = Vec::from_iter(first);
    while let Ok(call) = unread.recv_timeout(SILENCE_LIMIT) {
        received.push(call);
    }
    assert!(received.len() <= CALL_LIMIT, "{}", received.len());
}

#[test]
fn a_peer_that_restarts_at_its_address_is_reached_again() {
    let fleet = FleetAuthority::generate();
    let (own, _calls) = open_any(&fleet.issue());
    let (first, calls) = open_any(&fleet.issue());
    echo(calls);
    let address = first.address();
    assert!(own.call(address, b"first".to_vec(), REPLY_LIMIT).is_ok());
    first.close();
    let gone = own.call(address, b"gone".to_vec(), SILENCE_LIMIT);
    assert!(gone.is_err(), "{gone:?}");
    let (_second, calls) = open(&fleet.issue(), address).expect("the address is free");
    echo(calls);
    let deadline = Instant::now() + RESTART_LIMIT;
    while own
        .call(address, b"second".to_vec(), SILENCE_LIMIT)
        .is_err()
    {
        assert!(
            Instant::now() < deadline,
            "the restarted peer is not reached"
        );
    }
}

#[test]
fn an_incomplete_message_is_never_accepted_as_complete() {
    let fleet = FleetAuthority::generate();
    let (own, _calls) = open_any(&fleet.issue());
    let (other, calls) = open_any(&fleet.issue());
    let whole = vec![7; 12 * 1024 * 1024];
    let mut cut = 0;
    let mut unanswered = Vec::new();
    for step in 0..20 {
        // An unanswered call keeps the connection open, so that the buffered
        // part of the incomplete message is still sent.
        let call = own.start_call(other.address(), b"hold".to_vec(), REPLY_LIMIT);
        unanswered.push((call, calls.recv_timeout(REPLY_LIMIT)));
        let timeout = Duration::from_millis(step);
        let call = own.start_call(other.address(), whole.clone(), timeout);
        if call.expect("the call starts").wait().is_err() {
            cut += 1;
        }
        while let Ok(call) = calls.recv_timeout(SILENCE_LIMIT) {
            assert_eq!(
                call.body.len(),
                whole.len(),
                "a part was accepted as complete"
            );
        }
    }
    assert!(cut > 0, "no call timed out while sending");
}
