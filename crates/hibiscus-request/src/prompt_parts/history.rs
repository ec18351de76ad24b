//! Crashes of server processes in the order in which they were learned, with the
//! prompts that were there and the answers in between.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::AddAssign;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::prompt_parts::SharedPrompt;
use crate::suspects::ServerProcess;

/// Crashes that are remembered.
const CRASH_LIMIT: usize = 1_024;

/// Number of requests by whether their response had begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PromptCount {
    pub(super) waiting: u64,
    pub(super) begun: u64,
}

impl PromptCount {
    pub(super) fn of(prompt: &SharedPrompt) -> Self {
        Self {
            waiting: prompt.waiting.into(),
            begun: prompt.begun.into(),
        }
    }
}

impl AddAssign for PromptCount {
    fn add_assign(&mut self, other: Self) {
        self.waiting += other.waiting;
        self.begun += other.begun;
    }
}

/// One crash, and the time until the next one.
#[derive(Clone, Debug)]
struct CrashTotals {
    process: ServerProcess,
    /// Time of the steady clock at which the crash was learned.
    received_at: Duration,
    /// Requests that were at the server.
    prompts: PromptCount,
    /// Number of answers that began after the crash and before the next one.
    answers: u64,
}

/// Crashes of server processes, numbered from 1.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    crashes: VecDeque<CrashTotals>,
    serials: HashMap<ServerProcess, u64>,
    count: u64,
}

impl CrashHistory {
    /// Number of crashes so far.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Records that requests were at `process` when it crashed, as learned at `now`;
    /// returns the number of the crash.
    pub(super) fn note_crash(
        &mut self,
        process: ServerProcess,
        prompts: PromptCount,
        now: Duration,
    ) -> u64 {
        let serial = match self.serials.get(&process) {
            Some(serial) => *serial,
            None => self.push(process, now),
        };
        if let Some(totals) = self.find(serial) {
            totals.prompts += prompts;
        }
        serial
    }

    fn push(&mut self, process: ServerProcess, now: Duration) -> u64 {
        self.count += 1;
        self.serials.insert(process, self.count);
        self.crashes.push_back(CrashTotals {
            process,
            received_at: now,
            prompts: PromptCount::default(),
            answers: 0,
        });
        if self.crashes.len() > CRASH_LIMIT
            && let Some(oldest) = self.crashes.pop_front()
        {
            self.serials.remove(&oldest.process);
        }
        self.count
    }

    /// Records an answer that began when there had been `count` crashes.
    pub(super) fn note_answer(&mut self, count: u64) {
        if let Some(totals) = self.find(count) {
            totals.answers += 1;
        }
    }

    fn find(&mut self, serial: u64) -> Option<&mut CrashTotals> {
        let first = self.first();
        let index = usize::try_from(serial.checked_sub(first)?).ok()?;
        self.crashes.get_mut(index)
    }

    /// Number of the first crash that is remembered.
    fn first(&self) -> u64 {
        self.count + 1 - self.crashes.len() as u64
    }

    /// Processes that crashed since `time`, up to the crash `last`, and when this was
    /// learned.
    pub(super) fn since(
        &self,
        time: Duration,
        last: u64,
    ) -> impl Iterator<Item = (&ServerProcess, Duration)> {
        let numbered = (self.first()..).zip(&self.crashes);
        let recent =
            numbered.filter(move |(serial, totals)| *serial <= last && totals.received_at >= time);
        recent.map(|(_serial, totals)| (&totals.process, totals.received_at))
    }

    /// Requests at the crashes in `serials`, and number of answers that began between
    /// the first and the last of them.
    pub(super) fn totals(&self, serials: RangeInclusive<u64>) -> (PromptCount, u64) {
        let (mut prompts, mut answers) = (PromptCount::default(), 0);
        for (serial, totals) in (self.first()..).zip(&self.crashes) {
            if !serials.contains(&serial) {
                continue;
            }
            prompts += totals.prompts;
            if serial != *serials.end() {
                answers += totals.answers;
            }
        }
        (prompts, answers)
    }
}
