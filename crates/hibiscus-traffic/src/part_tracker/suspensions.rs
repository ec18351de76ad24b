//! Suspends parts of prompts, and tells the contacts of parts with a contrast.

use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::prompt_parts::PartId;
use hibiscus_request::prompt_parts::SharedPrompt;
use metrics::counter;

use crate::part_tracker::PROMPT_PARTS;
use crate::part_tracker::PartTracker;
use crate::part_tracker::describe;

impl PartTracker {
    /// The suspended part because of which a request with `prompt` is refused now, and for
    /// how much longer.
    pub fn suspension(&self, prompt: &SharedPrompt) -> Option<(PartId, Duration)> {
        let table = self.table.borrow();
        table.suspension(&prompt.parts, prompt.team, self.started.elapsed())
    }

    /// Logs that the request `id` was refused because `part` is suspended for `time`.
    pub fn log_suspension(&self, id: &str, part: PartId, time: Duration) {
        counter!(PROMPT_PARTS, "verdict" => "refused_for_a_time").increment(1);
        event!(
            EventCode::PartSuspensionRefused,
            "request={id} part={part} remaining_ms={}",
            time.as_millis()
        );
    }

    /// Suspends the parts that the crashes speak against, and queues those for the contacts
    /// without which requests are answered.
    pub(super) fn review_suspensions(&self) {
        let now = self.started.elapsed();
        let found = self.table.borrow_mut().find_contrasts(now);
        for part in &found {
            event!(EventCode::PartContrastFound, "part={part}");
        }
        self.queue_contrasts(found);
        let suspended = self.table.borrow_mut().suspend();
        for (part, until) in suspended {
            let Some(evidence) = self.table.borrow().evidence(part) else {
                continue;
            };
            counter!(PROMPT_PARTS, "verdict" => "suspended").increment(1);
            event!(
                EventCode::PartSuspended,
                "part={part} rounds={} time_ms={} {}",
                self.table.borrow().standing(part).rounds,
                until.saturating_sub(now).as_millis(),
                describe(&evidence)
            );
        }
    }

    fn queue_contrasts(&self, parts: Vec<PartId>) {
        if !parts.is_empty() {
            self.contrasts.borrow_mut().extend(parts);
            self.has_queued.notify_one();
        }
    }

    /// Records that another instance found requests without these `parts` answered.
    pub fn merge_contrasts(&self, parts: &[PartId]) {
        let mut table = self.table.borrow_mut();
        let new = parts.iter().copied();
        let new = new.filter(|part| table.note_contrast(*part)).collect();
        drop(table);
        self.queue_contrasts(new);
    }
}
