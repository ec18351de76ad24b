//! Answers which addresses a caller may use.

use std::net::SocketAddr;

use hibiscus_membership::address;
use hibiscus_membership::view::FleetInstance;
use hibiscus_types::RequestOutcome;
use hibiscus_types::UnixMillis;
use hyper::Response;

use crate::callers::admission;
use crate::callers::answer;
use crate::callers::answer::AnswerHead;
use crate::callers::answer::RequestFailure;
use crate::callers::body::AnswerBody;
use crate::context::SharedContext;

/// Path of the address answer.
pub const ADDRESS_PATH: &str = "/v1/address";
/// Longest caller id, in bytes.
const CALLER_LIMIT: usize = 128;

/// Result of reading a caller id.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// The ranked addresses for the caller at `peer`, or for the id that it gives
/// in `?caller=`: callers behind one translated address would otherwise all
/// rank alike.
pub fn respond(
    context: &SharedContext,
    query: Option<&str>,
    peer: SocketAddr,
) -> Response<AnswerBody> {
    let caller = match caller_id(query, peer) {
        Ok(caller) => caller,
        Err(failure) => return answer::fail(&failure),
    };
    let fleet = context.fleet.lock();
    let serving = fleet.serving(UnixMillis::now());
    let nearby = &context.settings.instance.data_centre;
    let load_of = |instance: &FleetInstance| fleet.load_of(&instance.name);
    let mut answer = address::rank_addresses_by_load(&caller, nearby, &serving, load_of);
    drop(fleet);
    answer.lifetime_s = context.settings.address_lifetime().as_secs();
    let head = AnswerHead {
        status: 200,
        content_type: "application/json".to_owned(),
        outcome: RequestOutcome::Ran,
        key: String::new(),
    };
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    answer::respond(&head, AnswerBody::whole(body))
}

/// The id that ranks the addresses.
fn caller_id(query: Option<&str>, peer: SocketAddr) -> Result<String> {
    let Some(query) = query else {
        return Ok(peer.ip().to_string());
    };
    let id = query.strip_prefix("caller=").unwrap_or("");
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if id.is_empty() || id.len() > CALLER_LIMIT || !id.bytes().all(allowed) {
        return Err(admission::bad_request(format!(
            "failed to read the query string: it must be `caller=ID` \
             with 1 to {CALLER_LIMIT} letters, digits, `-`, `_` or `.`"
        )));
    }
    Ok(id.to_owned())
}
