//! Spreads reports of the headroom of instances that are short of it.
//!
//! A report names a process by a hash of its name and incarnation, so that a report of an
//! earlier process is not taken for one of its successor. The process orders its reports
//! by a sequence number, and each holder adds the time for which it held a report to its
//! age, so no clocks are compared. Each instance sends a new report to a few contacts,
//! which do the same. One message is sent at a time, so the bytes do not grow with the
//! size of the fleet. An instance with whole headroom sends nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::headroom::Headroom;

/// Time between two messages.
pub const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Most reports in a message: less than 300 bytes.
pub const REPORT_LIMIT: usize = 16;
/// Messages in which a report is sent: one to each contact in a large fleet.
const REPORT_SENDS: u8 = 4;
/// Time after which an instance repeats its report.
const REPEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Age up to which a report counts in full: two repetitions may be lost.
const FULL_AGE: Duration = Duration::from_secs(9);
/// Age at which a report does not count any more. From [`FULL_AGE`] on its effect
/// declines.
const MAX_AGE: Duration = Duration::from_secs(13);
/// Most processes of which reports are held; more than a fleet has instances.
const HELD_LIMIT: usize = 2_048;
/// Unit of [`HeadroomReport::age`].
const AGE_UNIT: Duration = Duration::from_millis(100);

/// Identifies a process of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportSubject([u8; 8]);

impl ReportSubject {
    /// The process `incarnation` of the instance `name`.
    pub fn new(name: &InstanceName, incarnation: IncarnationId) -> Self {
        let incarnation = incarnation.as_u128().to_be_bytes();
        let hash = stable_hash(&[name.as_str().as_bytes(), &incarnation]);
        Self(hash.to_be_bytes())
    }
}

/// The headroom of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadroomReport {
    /// The process.
    pub subject: ReportSubject,
    /// Counter of the process: the report with the higher number replaces the other.
    pub sequence: u32,
    /// The headroom in percent.
    pub percent: u8,
    /// Time since the process measured it, in units of 0.1 s.
    pub age: u8,
}

/// Reports that one instance sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadroomMessage {
    /// The reports.
    pub reports: Vec<HeadroomReport>,
}

/// A report and when its process measured it, by the clock of this instance.
#[derive(Clone, Copy, Debug)]
struct HeldReport {
    sequence: u32,
    headroom: Headroom,
    measured_at: Duration,
    sends_left: u8,
}

/// The reports that an instance knows.
#[derive(Clone, Debug)]
pub struct HeadroomReports {
    own: ReportSubject,
    held: BTreeMap<ReportSubject, HeldReport>,
}

impl HeadroomReports {
    /// Without reports, at the process `own`.
    pub fn new(own: ReportSubject) -> Self {
        Self {
            own,
            held: BTreeMap::new(),
        }
    }

    /// Records the headroom of this process.
    pub fn note_own(&mut self, headroom: Headroom, now: Duration) {
        let known = self.held.get(&self.own);
        let is_due = match known {
            None => headroom < Headroom::WHOLE,
            Some(known) if known.headroom != headroom => true,
            Some(known) => {
                let age = now.saturating_sub(known.measured_at);
                headroom < Headroom::WHOLE && age >= REPEAT_INTERVAL
            }
        };
        if !is_due {
            return;
        }
        let sequence = known.map_or(0, |known| known.sequence).saturating_add(1);
        self.held.insert(
            self.own,
            HeldReport {
                sequence,
                headroom,
                measured_at: now,
                sends_left: REPORT_SENDS,
            },
        );
    }

    /// Takes the reports of another instance over that are newer than those known.
    /// Reports that are invalid or too old are ignored.
    pub fn receive(&mut self, message: &HeadroomMessage, now: Duration) {
        for report in message.reports.iter().take(REPORT_LIMIT) {
            let age = AGE_UNIT * u32::from(report.age);
            let Some(headroom) = Headroom::new(report.percent) else {
                continue;
            };
            let known = self.held.get(&report.subject);
            let is_known = known.is_some_and(|known| known.sequence >= report.sequence);
            if report.subject == self.own || is_known || age >= MAX_AGE {
                continue;
            }
            if known.is_none() && self.held.len() >= HELD_LIMIT {
                continue;
            }
            let held = HeldReport {
                sequence: report.sequence,
                headroom,
                measured_at: now.saturating_sub(age),
                sends_left: REPORT_SENDS,
            };
            self.held.insert(report.subject, held);
        }
    }

    /// Forgets reports that do not count any more. The own one is kept for its sequence
    /// number.
    pub fn expire(&mut self, now: Duration) {
        let own = self.own;
        self.held.retain(|subject, held| {
            *subject == own || now.saturating_sub(held.measured_at) < MAX_AGE
        });
    }

    /// The next message, or `None` if there is nothing to send. Of more reports than fit,
    /// the own one is first, then those with the least headroom, then the newest.
    pub fn next_message(&mut self, now: Duration) -> Option<HeadroomMessage> {
        let own = self.own;
        let unsent = self.held.iter().filter(|(_subject, held)| {
            held.sends_left > 0 && now.saturating_sub(held.measured_at) < MAX_AGE
        });
        let mut unsent: Vec<_> = unsent.map(|(subject, held)| (*subject, *held)).collect();
        unsent.sort_by_key(|(subject, held)| {
            let newest = std::cmp::Reverse(held.measured_at);
            (*subject != own, held.headroom, newest)
        });
        unsent.truncate(REPORT_LIMIT);
        let mut reports = Vec::with_capacity(unsent.len());
        for (subject, held) in unsent {
            let age = now.saturating_sub(held.measured_at).as_millis() / AGE_UNIT.as_millis();
            reports.push(HeadroomReport {
                subject,
                sequence: held.sequence,
                percent: held.headroom.percent(),
                age: u8::try_from(age).unwrap_or(u8::MAX),
            });
            if let Some(held) = self.held.get_mut(&subject) {
                held.sends_left -= 1;
            }
        }
        (!reports.is_empty()).then_some(HeadroomMessage { reports })
    }

    /// Whether no report is known, so that all instances have whole headroom.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The headroom of the process `subject`. Without a recent report it is whole.
    pub fn headroom(&self, subject: ReportSubject, now: Duration) -> Headroom {
        let Some(held) = self.held.get(&subject) else {
            return Headroom::WHOLE;
        };
        let age = now.saturating_sub(held.measured_at);
        if subject == self.own || age < FULL_AGE {
            return held.headroom;
        }
        if age >= MAX_AGE {
            return Headroom::WHOLE;
        }
        // Callers return over some seconds and not at one moment.
        let passed = (age - FULL_AGE).as_secs_f64() / (MAX_AGE - FULL_AGE).as_secs_f64();
        let missing = f64::from(100 - held.headroom.percent()) * (1.0 - passed);
        Headroom(100 - missing as u8)
    }

    /// Number of other processes that are known to be short of headroom.
    pub fn count_short(&self, now: Duration) -> usize {
        let subjects = self.held.keys().filter(|subject| **subject != self.own);
        subjects
            .filter(|subject| self.headroom(**subject, now) < Headroom::WHOLE)
            .count()
    }
}
