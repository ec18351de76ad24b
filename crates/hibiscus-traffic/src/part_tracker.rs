//! Tracks the parts of prompts that were at servers which crashed.
//!
//! [`PartTracker`] holds what the fleet knows ([`hibiscus_request::prompt_parts`]).
//! A [`PromptWatch`] follows one response: it reports the prompt if the server
//! breaks the connection before the response has gone on for a while, and
//! otherwise proves that no part of the prompt crashes servers. What is new goes to
//! the contacts over the peer link ([`run`]). Parts with several crashes are also
//! kept in a topic of the fleet, which outlives all processes.

mod suspensions;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::prompt_parts::PartClearance;
use hibiscus_request::prompt_parts::PartEvidence;
use hibiscus_request::prompt_parts::PartId;
use hibiscus_request::prompt_parts::PartStatus;
use hibiscus_request::prompt_parts::PromptCrash;
use hibiscus_request::prompt_parts::SharedPrompt;
use hibiscus_request::prompt_parts::suspension::StoredPart;
use hibiscus_request::prompt_parts::table::PartTable;
use hibiscus_types::InstanceName;
use hibiscus_types::UnixMillis;
use metrics::counter;
use metrics::gauge;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::model::ServerIncarnation;
use crate::notices;
use crate::peers::PeerRequest;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::suspects::TopicRecord;
use crate::wire_format::WireFormat;

/// Counts what was decided about parts of prompts.
pub const PROMPT_PARTS: &str = "hibiscus_prompt_parts_total";
/// Number of parts of prompts that servers crashed with, by state.
pub const TRACKED_PARTS: &str = "hibiscus_prompt_parts";

/// Time after the beginning of a response in which a crash of its server counts
/// against the parts of its prompt.
const RISK_TIME: Duration = Duration::from_millis(200);
/// Time after the beginning of a response at which it is checked whether the server
/// crashed within [`RISK_TIME`]: a crash is detected within less.
const PROOF_TIME: Duration = Duration::from_millis(300);
/// Pause before that check, in which the end of a connection is read although the
/// thread was late.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Maximum number of responses that ended within [`RISK_TIME`] to remember.
const ENDED_LIMIT: usize = 1_024;
/// Maximum number of prompts in one report: more than a server has slots.
const PROMPTS_PER_REPORT_LIMIT: usize = 256;
/// Maximum number of reports in one message: less than 40 KB.
const REPORTS_PER_NOTICE_LIMIT: usize = 4;
/// Maximum number of other items of each kind in one message.
const ITEMS_PER_NOTICE_LIMIT: usize = 64;
/// Maximum number of items of each kind that are queued for the link.
const QUEUED_ITEM_LIMIT: usize = 4_096;
/// Pause after a message, so that items found at the same moment are sent together.
const NOTICE_PAUSE: Duration = Duration::from_millis(20);
/// Time after which an instance that reported a crash appends the parts to the
/// topic, unless they have been cleared.
const APPEND_DELAY: Duration = Duration::from_secs(1);
/// Time after which the maintainer of the topic appends parts that it does not hold:
/// the reporters may have been killed.
const APPEND_TAKEOVER_DELAY: Duration = Duration::from_secs(5);

/// What instances tell each other about parts of prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNotice {
    /// Requests that were at servers which crashed.
    pub crashes: Vec<PromptCrash>,
    /// Crashes that no longer count.
    pub cleared: Vec<PartClearance>,
    /// Parts that were condemned.
    pub condemned: Vec<PartEvidence>,
}

impl PartNotice {
    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.condemned.is_empty()
    }
}

/// Change of what the fleet's topic holds of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartRecord {
    /// What is known of a part.
    Known(StoredPart),
    /// Nothing speaks against the part, or operators released it.
    Dropped(PartId),
}

/// A response that ended within [`RISK_TIME`].
#[derive(Debug)]
struct EndedResponse {
    prompt: SharedPrompt,
    server: ServerIncarnation,
    begun: Instant,
}

/// Tracks the parts of prompts that were at servers which crashed.
#[derive(Debug)]
pub struct PartTracker {
    own: InstanceName,
    table: RefCell<PartTable>,
    ended: RefCell<VecDeque<EndedResponse>>,
    queued: RefCell<PartNotice>,
    /// Parts without which requests are answered, for the contacts.
    contrasts: RefCell<Vec<PartId>>,
    has_queued: Notify,
    /// Notifies requests in progress that a part was condemned.
    condemned: Notify,
    outbox: SyncSender<Vec<TopicRecord>>,
    started: Instant,
}

impl PartTracker {
    /// An empty tracker of the instance `own`, which sends records to `outbox`.
    pub fn new(own: InstanceName, outbox: SyncSender<Vec<TopicRecord>>) -> Self {
        Self {
            own,
            table: RefCell::default(),
            ended: RefCell::default(),
            queued: RefCell::default(),
            contrasts: RefCell::default(),
            has_queued: Notify::new(),
            condemned: Notify::new(),
            outbox,
            started: Instant::now(),
        }
    }

    /// Returns whether a request with `prompt` may be sent.
    pub fn status(&self, prompt: &SharedPrompt) -> PartStatus {
        self.table.borrow().status(&prompt.parts, prompt.team)
    }

    /// Waits until requests with `prompt` are refused because of a part that was in
    /// no answered request. If such a verdict on any other part is wrong, the
    /// requests in progress show it.
    pub async fn until_condemned(&self, prompt: &SharedPrompt) {
        loop {
            let changed = self.condemned.notified();
            if let PartStatus::Condemned(part) = self.status(prompt)
                && !self.table.borrow().was_answered(part)
            {
                return;
            }
            changed.await;
        }
    }

    /// Logs that the request `id` was refused because of `part`, with the crashes
    /// that speak against the part.
    pub fn log_refusal(&self, id: &str, part: PartId) {
        counter!(PROMPT_PARTS, "verdict" => "refused").increment(1);
        let Some(evidence) = self.table.borrow().evidence(part) else {
            return;
        };
        event!(
            EventCode::PartRefused,
            "request={id} part={part} {}",
            describe(&evidence)
        );
    }

    /// Records that `server` crashed at `now` while requests with the `waiting`
    /// prompts were there.
    pub fn note_crash(&self, server: &ServerHandle, waiting: Vec<SharedPrompt>, now: Duration) {
        let mut prompts = waiting;
        let process = server.entry.incarnation();
        for ended in self.ended.borrow().iter() {
            if ended.server == process && ended.begun.elapsed() < RISK_TIME {
                prompts.push(ended.prompt.clone());
            }
        }
        prompts.retain(|prompt| !prompt.parts.is_empty());
        prompts.sort_unstable_by(|one, other| {
            let order = one.parts.cmp(&other.parts);
            order.then_with(|| one.team.cmp(&other.team))
        });
        prompts.dedup_by(|later, first| {
            let is_same = later.parts == first.parts && later.team == first.team;
            if is_same {
                first.waiting += later.waiting;
                first.begun += later.begun;
            }
            is_same
        });
        prompts.truncate(PROMPTS_PER_REPORT_LIMIT);
        if prompts.is_empty() {
            return;
        }
        for prompt in &mut prompts {
            prompt.answered = self.table.borrow().answered_indexes(&prompt.parts);
        }
        let crash = PromptCrash {
            server: server.entry.name.clone(),
            started: server.entry.started,
            service: server.entry.service.clone(),
            reporter: self.own.clone(),
            seen: UnixMillis::now(),
            prompts,
        };
        self.merge_crash(crash, now);
    }

    /// Adds a report; returns whether it was new.
    fn merge_crash(&self, crash: PromptCrash, now: Duration) -> bool {
        if !self.table.borrow_mut().merge_crash(&crash, now) {
            return false;
        }
        self.queued.borrow_mut().crashes.push(crash);
        self.has_queued.notify_one();
        true
    }

    /// Condemns the parts that the crashes speak against, in a fleet of `instances`.
    /// `maintains` is whether this instance maintains the topic.
    pub fn review(&self, maintains: bool, instances: u32) {
        if self.table.borrow().is_empty() {
            return;
        }
        let condemned = self
            .table
            .borrow_mut()
            .condemn(instances, UnixMillis::now());
        for part in condemned {
            let Some(evidence) = self.table.borrow().evidence(part) else {
                continue;
            };
            self.note_condemned(&evidence, "crashes");
            if maintains || self.is_reporter(&evidence) {
                self.append(&evidence);
            }
            self.queued.borrow_mut().condemned.push(evidence);
            self.has_queued.notify_one();
        }
        self.review_suspensions();
    }

    fn note_condemned(&self, evidence: &PartEvidence, source: &str) {
        counter!(PROMPT_PARTS, "verdict" => "condemned").increment(1);
        event!(
            EventCode::PartCondemned,
            "part={} source={source} {}",
            evidence.part,
            describe(evidence)
        );
        self.condemned.notify_waiters();
    }

    fn is_reporter(&self, evidence: &PartEvidence) -> bool {
        let mut crashes = evidence.crashes.iter();
        crashes.any(|crash| crash.reporter == self.own)
    }

    /// Removes crashes that a response to the request `id` disproved.
    fn note_proof(&self, id: &str, clearances: Vec<PartClearance>) {
        if clearances.is_empty() {
            return;
        }
        for clearance in clearances {
            if !self.table.borrow_mut().clear(&clearance) {
                continue;
            }
            counter!(PROMPT_PARTS, "verdict" => "cleared").increment(1);
            event!(
                EventCode::PartCleared,
                "request={id} part={} servers={}",
                clearance.part,
                clearance.processes.len()
            );
            self.queued.borrow_mut().cleared.push(clearance);
            self.has_queued.notify_one();
        }
        self.append_dropped();
    }

    /// Merges a notice from another instance at `now`.
    pub fn merge_notice(&self, notice: &PartNotice, now: Duration) {
        for crash in &notice.crashes {
            self.merge_crash(crash.clone(), now);
        }
        for clearance in &notice.cleared {
            if self.table.borrow_mut().clear(clearance) {
                self.queued.borrow_mut().cleared.push(clearance.clone());
                self.has_queued.notify_one();
            }
        }
        for evidence in &notice.condemned {
            if self.table.borrow_mut().merge_evidence(evidence, false, now) {
                self.note_condemned(evidence, "instance");
                self.queued.borrow_mut().condemned.push(evidence.clone());
                self.has_queued.notify_one();
            }
        }
    }

    /// Records that the topic may have lost parts that it held.
    pub fn forget_stored(&self) {
        self.table.borrow_mut().forget_stored();
    }

    /// Applies all parts in the topic, read at `now`.
    pub fn apply_snapshot(&self, parts: Vec<StoredPart>, now: Duration) {
        let listed: BTreeSet<_> = parts.iter().map(|stored| stored.evidence.part).collect();
        for stored in parts {
            self.apply_record(&PartRecord::Known(stored), now);
        }
        self.table.borrow_mut().retain_stored(&listed);
    }

    /// Applies a record of the topic, read at `now`.
    pub fn apply_record(&self, record: &PartRecord, now: Duration) {
        match record {
            PartRecord::Known(StoredPart { evidence, standing }) => {
                let mut table = self.table.borrow_mut();
                let is_condemned = table.merge_evidence(evidence, true, now);
                table.merge_standing(evidence.part, *standing);
                drop(table);
                if is_condemned {
                    self.note_condemned(evidence, "topic");
                }
            }
            PartRecord::Dropped(part) => {
                if self.table.borrow_mut().note_dropped(*part) {
                    event!(EventCode::PartReleased, "part={part}");
                }
            }
        }
    }

    /// Condemns parts, appends what the topic lacks and forgets old parts.
    pub fn tick(&self, maintains: bool, instances: u32, now: Duration) {
        if self.table.borrow().is_empty() {
            return;
        }
        self.review(maintains, instances);
        let expired = self.table.borrow_mut().expire(UnixMillis::now());
        if expired > 0 {
            event!(EventCode::PartsExpired, "parts={expired}");
        }
        let missing = |delay| {
            let before = now.saturating_sub(delay);
            self.table.borrow().not_stored(before)
        };
        for evidence in missing(APPEND_DELAY) {
            if self.is_reporter(&evidence) {
                self.append(&evidence);
            }
        }
        if maintains {
            for evidence in missing(APPEND_TAKEOVER_DELAY) {
                self.append(&evidence);
            }
        }
        self.append_dropped();
    }

    /// Publishes the number of parts as metrics.
    pub fn show_levels(&self) {
        let (suspects, condemned) = self.table.borrow().counts();
        gauge!(TRACKED_PARTS, "state" => "known").set(self.table.borrow().len() as f64);
        gauge!(TRACKED_PARTS, "state" => "suspect").set(suspects as f64);
        gauge!(TRACKED_PARTS, "state" => "condemned").set(condemned as f64);
    }

    /// Appends what is known of a part to the topic.
    fn append(&self, evidence: &PartEvidence) {
        let stored = StoredPart {
            evidence: evidence.clone(),
            standing: self.table.borrow().standing(evidence.part),
        };
        let record = TopicRecord::Part(PartRecord::Known(stored));
        if self.send(vec![record]) {
            self.table.borrow_mut().note_stored(evidence);
        }
    }

    fn append_dropped(&self) {
        let dropped = self.table.borrow_mut().take_dropped();
        let records: Vec<_> = dropped
            .into_iter()
            .map(|part| TopicRecord::Part(PartRecord::Dropped(part)))
            .collect();
        if !records.is_empty() {
            self.send(records);
        }
    }

    /// Sends records to the thread that appends them; returns false if its queue is
    /// full. The tick sends what is known again, and the next response drops others
    /// again.
    fn send(&self, records: Vec<TopicRecord>) -> bool {
        let count = records.len();
        let is_sent = self.outbox.try_send(records).is_ok();
        if !is_sent {
            event!(
                EventCode::SuspectsNotStored,
                "records={count} cause=ring_full"
            );
        }
        is_sent
    }

    /// Takes the next notice for the contacts from the queue.
    fn next_notice(&self) -> PartNotice {
        let mut queued = self.queued.borrow_mut();
        PartNotice {
            crashes: dequeue(&mut queued.crashes, REPORTS_PER_NOTICE_LIMIT),
            cleared: dequeue(&mut queued.cleared, ITEMS_PER_NOTICE_LIMIT),
            condemned: dequeue(&mut queued.condemned, REPORTS_PER_NOTICE_LIMIT),
        }
    }

    fn remember_ended(&self, prompt: SharedPrompt, server: &ServerHandle, begun: Instant) {
        let mut ended = self.ended.borrow_mut();
        while ended
            .front()
            .is_some_and(|oldest| oldest.begun.elapsed() > RISK_TIME)
            || ended.len() >= ENDED_LIMIT
        {
            ended.pop_front();
        }
        ended.push_back(EndedResponse {
            prompt,
            server: server.entry.incarnation(),
            begun,
        });
    }
}

/// Takes the first `limit` items out of `queued`; the oldest of too many are dropped.
fn dequeue<T>(queued: &mut Vec<T>, limit: usize) -> Vec<T> {
    let surplus = queued.len().saturating_sub(QUEUED_ITEM_LIMIT);
    queued.drain(..surplus);
    let count = queued.len().min(limit);
    queued.drain(..count).collect()
}

/// Lists the crashes that speak against a part, for the log.
fn describe(evidence: &PartEvidence) -> String {
    let crashes = evidence.crashes.iter();
    let crashes: Vec<_> = crashes
        .map(|crash| format!("{}@{}", crash.server, crash.reporter))
        .collect();
    let now = UnixMillis::now();
    let seen = evidence.crashes.iter().map(|crash| crash.seen);
    let ages = seen.map(|seen| now.since(seen).as_millis());
    format!(
        "servers={} teams={} newest_ms={} crashes={}",
        evidence.crashes.len(),
        evidence
            .crashes
            .iter()
            .flat_map(|crash| &crash.teams)
            .collect::<BTreeSet<_>>()
            .len(),
        ages.min().unwrap_or_default(),
        crashes.join(",")
    )
}

/// Follows the response to one request, for the parts of its prompt.
#[derive(Debug)]
pub struct PromptWatch {
    tracker: Rc<PartTracker>,
    id: String,
    prompt: Rc<SharedPrompt>,
    server: Rc<ServerHandle>,
    /// Time at which the response began.
    begun: Option<Instant>,
    /// Whether the server broke the connection.
    broken: Rc<Cell<bool>>,
}

impl PromptWatch {
    /// Watches the response of `server` to the request `id`.
    pub fn new(
        tracker: Rc<PartTracker>,
        id: &str,
        prompt: Rc<SharedPrompt>,
        server: Rc<ServerHandle>,
    ) -> Self {
        Self {
            tracker,
            id: id.to_owned(),
            prompt,
            server,
            begun: None,
            broken: Rc::default(),
        }
    }

    /// Records that the response began. If it goes on, that proves that no part of
    /// the prompt crashes servers.
    pub fn note_begun(&mut self) {
        if self.begun.is_some() || self.prompt.parts.is_empty() {
            return;
        }
        let begun = Instant::now();
        self.begun = Some(begun);
        let table = self.tracker.table.borrow();
        let clearances = table.crashes_of(&self.prompt.parts, &self.server.entry.service);
        let crash_count = table.crash_count();
        let tracker = Rc::clone(&self.tracker);
        let prompt = Rc::clone(&self.prompt);
        let server = Rc::clone(&self.server);
        let broken = Rc::clone(&self.broken);
        let id = self.id.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until((begun + PROOF_TIME).into()).await;
            tokio::time::sleep(SETTLE_TIME).await;
            let is_open = !server.is_closed() && server.was_open_at(begun + RISK_TIME);
            if is_open && !broken.get() {
                let mut table = tracker.table.borrow_mut();
                table.note_answer(&prompt.parts, crash_count);
                table.note_contrast_answer(&prompt.parts, tracker.started.elapsed());
                drop(table);
                tracker.note_proof(&id, clearances);
            }
        });
    }

    /// Records that the server broke the connection. Returns the prompt if a crash of
    /// the server may be due to it. `head_arrived` is whether the head of the response
    /// had arrived.
    pub fn note_broken(&self, head_arrived: bool) -> Option<SharedPrompt> {
        self.broken.set(true);
        if self.begun.is_some_and(|begun| begun.elapsed() >= RISK_TIME) {
            return None;
        }
        if head_arrived {
            return Some(self.prompt.with_response());
        }
        Some(SharedPrompt::clone(&self.prompt))
    }

    /// Records that the response ended, or that the caller left. The server may
    /// still crash.
    pub fn note_ended(&mut self) {
        let Some(begun) = self.begun else {
            return;
        };
        if begun.elapsed() < RISK_TIME {
            let prompt = self.prompt.with_response();
            self.tracker.remember_ended(prompt, &self.server, begun);
        }
    }
}

/// Sends notices over the peer link until the runtime stops.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    loop {
        let notice = state.parts.next_notice();
        let contrasts = dequeue(
            &mut state.parts.contrasts.borrow_mut(),
            ITEMS_PER_NOTICE_LIMIT,
        );
        if notice.is_empty() && contrasts.is_empty() {
            state.parts.has_queued.notified().await;
            continue;
        }
        if !notice.is_empty() {
            notices::send_to_contacts(&state, PeerRequest::PromptParts(notice), log_unheard);
        }
        if !contrasts.is_empty() {
            let request = PeerRequest::PartContrasts(contrasts);
            notices::send_to_contacts(&state, request, log_unheard);
        }
        tokio::time::sleep(NOTICE_PAUSE).await;
    }
}

fn log_unheard(contact: SocketAddr) {
    event!(EventCode::PartsNotTold, "peer={contact}");
}
