//! Notices to the contacts of an instance over the peer link.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::peers;
use crate::peers::PeerRequest;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Pause before a notice is resent to an instance that did not respond.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Sends `notice` to the contacts, twice to an instance that does not respond.
/// `log_unheard` is called for one that does not respond to the second either.
pub(crate) fn send_to_contacts<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    notice: PeerRequest,
    log_unheard: impl Fn(SocketAddr) + Copy + 'static,
) {
    let notice = Rc::new(notice);
    for contact in state.directory.borrow().contact_addresses() {
        let (state, notice) = (Rc::clone(state), Rc::clone(&notice));
        tokio::task::spawn_local(async move {
            if !send(&state, contact, &notice).await {
                log_unheard(contact);
            }
        });
    }
}

/// Sends `notice` to one instance, twice if it does not respond; returns false if it did
/// not respond to the second either.
pub(crate) async fn send<D: WireFormat>(
    state: &TrafficState<D>,
    contact: SocketAddr,
    notice: &PeerRequest,
) -> bool {
    let Some(link) = state.link.borrow().clone() else {
        return false;
    };
    if peers::send_notice(&link, contact, notice).await {
        return true;
    }
    tokio::time::sleep(RESEND_PAUSE).await;
    peers::send_notice(&link, contact, notice).await
}
