//! Planned stop of a router process.
//!
//! The order matters: callers may hold the address of this instance for the
//! lifetime of an address answer, so its port answers them with other
//! addresses until that time has passed; requests in progress end and settle
//! before the allowance goes back; and what is left of their answers is sent, and
//! the last appends end, before the process does.

use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;

use crate::holder::HolderMessage;
use crate::ops::RunningRouter;

/// Time between looks at the requests in progress during a stop.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time that the last appends may take during a stop.
const LAST_APPENDS: Duration = Duration::from_secs(5);

impl RunningRouter {
    /// Stops as planned: leaves the address answers, serves for as long as
    /// callers may keep an address, finishes all requests, returns the
    /// allowance, and ends.
    pub fn stop(self) {
        let lifetime = self.context.settings.address_lifetime();
        self.stop_within(lifetime);
    }

    /// Stops as planned with `lifetime` for callers' addresses.
    pub fn stop_within(self, lifetime: Duration) {
        let events = &self.context.events;
        events.record(EventCode::InstanceStopping, EventFields::default());
        self.context.drain();
        self.finish_requests(lifetime);
        self.return_allowance();
        events.record(EventCode::InstanceStopped, EventFields::default());
        self.context.end();
        // The requests have handed their last bytes over; the port still
        // sends them.
        let _sent = self.callers.join();
        drop(self.appends);
        for appender in self.appenders {
            let _ended = appender.join();
        }
        self.context.link.close();
    }

    /// Ends at once, as a killed process does.
    pub fn kill(self) {
        self.context.end();
        self.context.link.close();
    }

    /// Waits until no request is in progress and no caller holds the address.
    fn finish_requests(&self, lifetime: Duration) {
        let refused_until = Instant::now() + lifetime;
        while self.context.in_progress.load(Ordering::Relaxed) > 0 || Instant::now() < refused_until
        {
            thread::sleep(DRAIN_POLL);
        }
    }

    /// Has the holder give back what no request uses.
    fn return_allowance(&self) {
        let (done, returned) = mpsc::sync_channel(1);
        if self.holder.send(HolderMessage::GiveBack { done }).is_ok() {
            let _late = returned.recv_timeout(LAST_APPENDS);
        }
    }
}
