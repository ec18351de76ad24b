//! Answers that bring nothing of what was asked for.

use super::scripted_server::chat_end;
use super::scripted_server::chat_event;
use super::scripted_server::chat_events;
use super::scripted_server::chunked;
use super::scripted_server::head;
use super::scripted_server::sized;
use super::scripted_server::unframed;

/// Body of an error.
const ERROR: &[u8] = br#"{"error":{"message":"FOREIGN","code":500}}"#;
/// The end marker of a stream.
const END_MARKER: &str = "data: [DONE]\n\n";

/// Answers to no request, or to another one, by name.
pub(super) fn odd_answers(key: &str) -> Vec<(&'static str, Vec<u8>)> {
    let chunks = head(200, key, "transfer-encoding: chunked\r\n").into_bytes();
    let half_head = sized(500, key, ERROR)[..60].to_vec();
    let hints = b"HTTP/1.1 103 FOREIGN\r\nlink: x\r\n\r\n".to_vec();
    let switching = "content-length: 0\r\nupgrade: x\r\nconnection: upgrade\r\n";
    vec![
        ("error-unframed", unframed(500, key, ERROR)),
        ("error-half-head", half_head),
        ("busy-other", sized(503, "another-request", ERROR)),
        ("busy-no-id", sized(503, "", ERROR)),
        ("status-line", b"HTTP/1.1 200 FOREIGN\r\n".to_vec()),
        ("status-line-error", b"HTTP/1.1 500 FOREIGN\r\n".to_vec()),
        ("status-line-end", b"HTTP/1.1 200 FOREIGN\r\n\r\n".to_vec()),
        ("head-alone", head(200, key, "").into_bytes()),
        (
            "head-alone-sized",
            head(200, key, "content-length: 13\r\n").into_bytes(),
        ),
        ("head-alone-chunked", chunks.clone()),
        ("other-answer", sized(200, "another-request", ERROR)),
        ("no-protocol", b"SSH-2.0-FOREIGN\r\n".to_vec()),
        ("no-text", vec![0; 64]),
        ("no-head", b"FOREIGN\n".to_vec()),
        ("nothing", Vec::new()),
        (
            "early-hints",
            [hints.clone(), unframed(500, key, ERROR)].concat(),
        ),
        ("early-hints-alone", hints),
        ("switching", head(101, key, switching).into_bytes()),
        (
            "interim",
            head(199, key, "content-length: 0\r\n").into_bytes(),
        ),
        (
            "low-status",
            head(99, key, "content-length: 0\r\n").into_bytes(),
        ),
        (
            "bad-chunk",
            [&chunks[..], b"zz\r\nFOREIGN\r\n0\r\n\r\n"].concat(),
        ),
        (
            "huge-chunk",
            [&chunks[..], b"fffffffffffffffffff\r\nFOREIGN"].concat(),
        ),
    ]
}

/// Answers that are complete and no stream of `key`, by name.
pub(super) fn odd_streams(key: &str) -> Vec<(&'static str, Vec<u8>)> {
    let stream = |events: &str| chunked(200, key, events.as_bytes());
    let other = chat_events("another-request", 0) + &chat_end("another-request");
    let own_error = format!(r#"data: {{"id":"{key}","error":{{"message":"FOREIGN"}}}}"#);
    let error = r#"data: {"error":{"message":"FOREIGN"}}"#;
    vec![
        ("error-sized", sized(500, key, ERROR)),
        ("error-chunked", chunked(500, key, ERROR)),
        ("error-empty", sized(500, key, b"")),
        ("busy-sized", sized(503, key, ERROR)),
        (
            "redirect",
            head(302, key, "location: /FOREIGN\r\ncontent-length: 0\r\n").into_bytes(),
        ),
        ("no-content", head(204, key, "").into_bytes()),
        ("empty-sized", sized(200, key, b"")),
        ("empty-chunked", chunked(200, key, b"")),
        ("json-error", sized(200, key, ERROR)),
        ("other-events", stream(&other)),
        ("error-event", stream(&format!("{error}\n\n{END_MARKER}"))),
        (
            "error-event-named",
            stream(&format!("event: error\ndata: FOREIGN\n\n{END_MARKER}")),
        ),
        (
            "error-event-own",
            stream(&format!("{own_error}\n\n{END_MARKER}")),
        ),
        ("end-alone", stream(END_MARKER)),
        (
            "end-alone-unframed",
            unframed(200, key, END_MARKER.as_bytes()),
        ),
    ]
}

/// Answers that continue a stream of `key` from the token `next` with one event and end
/// oddly, by name.
pub(super) fn odd_continuations(key: &str, next: usize) -> Vec<(&'static str, Vec<u8>)> {
    let event = chat_event(key, next);
    let other = chat_event("another-request", next + 1);
    let stream = |events: &str| chunked(200, key, events.as_bytes());
    let error = sized(500, key, ERROR);
    vec![
        ("then-end", stream(&format!("{event}{END_MARKER}"))),
        ("then-other", stream(&format!("{event}{other}{END_MARKER}"))),
        (
            "then-head",
            [unframed(200, key, event.as_bytes()), error].concat(),
        ),
        (
            "then-text",
            unframed(200, key, format!("{event}FOREIGN").as_bytes()),
        ),
    ]
}
