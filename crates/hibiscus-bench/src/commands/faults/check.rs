//! Compares the records of a case; a pure function.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::commands::faults::records::AnswerRecord;
use crate::commands::faults::records::AttemptEnd;
use crate::commands::faults::records::AttemptRecord;
use crate::commands::faults::records::CallKind;
use crate::commands::faults::records::CallRecord;
use crate::commands::faults::records::CaseRecords;
use crate::commands::faults::records::ServerRun;
use crate::commands::faults::records::StopWindow;

/// What a case showed. All but the first two and the last three are faults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultCounts {
    /// Calls.
    pub offered: u64,
    /// Calls with a whole answer.
    pub answered: u64,
    /// Tokens charged, granted or answered beyond what was prepaid.
    pub overspend_tokens: u64,
    /// Refusals for budget though credits less charges covered the call.
    pub false_refusals: u64,
    /// Whole answers whose key has no charge.
    pub unbilled: u64,
    /// Keys charged more than once or above their use.
    pub double_billed: u64,
    /// Answers with another request's content.
    pub crossed: u64,
    /// Answers shown as whole that are not.
    pub cut: u64,
    /// Answers "not run" of calls that a server ran before.
    pub false_not_run: u64,
    /// Non-idempotent keys that ran more than once.
    pub ran_twice: u64,
    /// Calls that a planned stop cut off.
    pub cut_by_stop: u64,
    /// Median time to a whole answer, in milliseconds.
    pub p50_ms: f64,
    /// Time to a whole answer for 99 in 100, in milliseconds.
    pub p99_ms: f64,
}

impl FaultCounts {
    /// Whether every safety count is zero. A false refusal is measured and
    /// breaks no promise.
    pub fn is_safe(&self) -> bool {
        self.overspend_tokens == 0
            && self.unbilled == 0
            && self.double_billed == 0
            && self.crossed == 0
            && self.cut == 0
            && self.false_not_run == 0
            && self.ran_twice == 0
            && self.cut_by_stop == 0
    }
}

/// Runs by the key received.
type RunsByKey<'a> = BTreeMap<&'a str, Vec<&'a ServerRun>>;

/// Counts the faults that `records` show, and explains each with `note`.
pub fn check<F: FnMut(String)>(records: &CaseRecords, mut note: F) -> FaultCounts {
    let engine_runs = by_key(&records.engine_runs);
    let plain_runs = by_key(&records.plain_runs);
    let charges = charges_by_key(records);
    let mut counts = FaultCounts {
        offered: records.calls.len() as u64,
        overspend_tokens: overspend(records, &mut note),
        double_billed: unexplained_charges(records, &mut note),
        ..FaultCounts::default()
    };
    let mut times = Vec::new();
    for call in &records.calls {
        let runs = match call.kind {
            CallKind::Chat => engine_runs.get(call.key.as_str()),
            CallKind::Repeatable | CallKind::Exclusive => plain_runs.get(call.key.as_str()),
        };
        let runs = runs.map_or(&[][..], Vec::as_slice);
        let charged = charges
            .get(call.key.as_str())
            .map_or(&[][..], Vec::as_slice);
        let mut fault = |count: &mut u64, what: &str| {
            *count += 1;
            note(format!("{what}: {}", describe(call, runs, charged)));
        };
        if let Some(answer) = &call.answer {
            counts.answered += 1;
            times.push(call.elapsed_ms);
            if charged.is_empty() {
                fault(&mut counts.unbilled, "unbilled");
            }
            match content(call, answer, runs) {
                AnswerContent::Own => {}
                AnswerContent::Crossed => fault(&mut counts.crossed, "crossed"),
                AnswerContent::Cut => fault(&mut counts.cut, "cut"),
            }
        }
        if charged.len() > 1 || charged.iter().sum::<u64>() > actual_use(call, runs) {
            fault(&mut counts.double_billed, "double_billed");
        }
        if call.kind == CallKind::Exclusive && runs.len() > 1 {
            fault(&mut counts.ran_twice, "ran_twice");
        }
        if call
            .attempts
            .iter()
            .any(|attempt| is_false_not_run(attempt, runs))
        {
            fault(&mut counts.false_not_run, "false_not_run");
        }
        if call
            .attempts
            .iter()
            .any(|attempt| is_cut_by_stop(attempt, &records.stops))
        {
            fault(&mut counts.cut_by_stop, "cut_by_stop");
        }
        if call
            .attempts
            .iter()
            .any(|attempt| is_false_refusal(call, attempt, records))
        {
            fault(&mut counts.false_refusals, "false_refusal");
        }
    }
    times.sort_by(f64::total_cmp);
    counts.p50_ms = percentile(&times, 50);
    counts.p99_ms = percentile(&times, 99);
    counts
}

/// One call with what servers and ledger have of it, on one line.
fn describe(call: &CallRecord, runs: &[&ServerRun], charged: &[u64]) -> String {
    let mut text = format!("{:?} {} of {}", call.kind, call.key, call.budget);
    for attempt in &call.attempts {
        let AttemptRecord {
            instance,
            started,
            ended,
            end,
        } = attempt;
        let _infallible = write!(
            text,
            "; instance {instance} from {} to {}: {end:?}",
            started.get(),
            ended.get()
        );
    }
    for run in runs {
        let _infallible = write!(
            text,
            "; {} ran it at {}, {} tokens",
            run.server,
            run.started.get(),
            run.tokens
        );
    }
    let billed = call.answer.as_ref().map(|answer| answer.billed);
    let _infallible = write!(text, "; answer billed {billed:?}, charged {charged:?}");
    text
}

/// What an answer taken as whole holds.
enum AnswerContent {
    /// The call's own whole answer.
    Own,
    /// Content of another call.
    Crossed,
    /// Less or more than the whole.
    Cut,
}

/// Compares an answer with what the call must get.
fn content(call: &CallRecord, answer: &AnswerRecord, runs: &[&ServerRun]) -> AnswerContent {
    if call.kind != CallKind::Chat {
        return plain_content(answer, runs);
    }
    let prefix = format!("{}.", call.marker);
    let mut length = 0;
    for word in answer.text.split_whitespace() {
        let Some(number) = word.strip_prefix(&prefix) else {
            return AnswerContent::Crossed;
        };
        if number.parse() != Ok(length) {
            return AnswerContent::Cut;
        }
        length += 1;
    }
    if length == call.length {
        AnswerContent::Own
    } else {
        AnswerContent::Cut
    }
}

/// A plain answer names the number of the run that gave it.
fn plain_content(answer: &AnswerRecord, runs: &[&ServerRun]) -> AnswerContent {
    let number: Option<usize> = answer
        .text
        .strip_prefix("{\"order\":")
        .and_then(|rest| rest.strip_suffix('}'))
        .and_then(|text| text.parse().ok());
    let Some(number) = number else {
        return AnswerContent::Cut;
    };
    if runs.iter().any(|run| run.number == number) {
        AnswerContent::Own
    } else {
        AnswerContent::Crossed
    }
}

/// The most that a key may be charged.
fn actual_use(call: &CallRecord, runs: &[&ServerRun]) -> u64 {
    if let Some(answer) = &call.answer
        && call.kind == CallKind::Chat
    {
        return answer.billed;
    }
    let Some(tokens) = runs.iter().map(|run| run.tokens).max() else {
        return 0;
    };
    match call.kind {
        CallKind::Chat => call.prompt_tokens + tokens,
        CallKind::Repeatable | CallKind::Exclusive => call.cost,
    }
}

/// Whether the attempt was answered "not run" though a server had the call.
fn is_false_not_run(attempt: &AttemptRecord, runs: &[&ServerRun]) -> bool {
    let AttemptEnd::Refused { outcome, .. } = &attempt.end else {
        return false;
    };
    outcome == "not-run" && runs.iter().any(|run| run.started <= attempt.ended)
}

/// Whether the attempt broke off at an instance during its planned stop.
fn is_cut_by_stop(attempt: &AttemptRecord, stops: &[StopWindow]) -> bool {
    if !matches!(attempt.end, AttemptEnd::Cut | AttemptEnd::Lost) {
        return false;
    }
    stops.iter().any(|stop| {
        stop.instance == attempt.instance && attempt.ended >= stop.from && attempt.started < stop.to
    })
}

/// Whether the attempt was refused for budget though the tokens credited
/// before it, less all that was charged up to its end, covered the call.
fn is_false_refusal(call: &CallRecord, attempt: &AttemptRecord, records: &CaseRecords) -> bool {
    let AttemptEnd::Refused { code, .. } = &attempt.end else {
        return false;
    };
    if !code.starts_with("budget_") {
        return false;
    }
    let mut credited = 0;
    for credit in &records.ledger.credits {
        if credit.budget == call.budget && credit.appended <= attempt.started {
            credited += credit.tokens;
        }
    }
    let mut charged = 0;
    for charge in &records.ledger.charges {
        if charge.budget == call.budget && charge.appended <= attempt.ended {
            charged += charge.tokens;
        }
    }
    credited >= charged + call.cost
}

/// Tokens charged, granted or answered beyond the credits of each budget.
fn overspend<F: FnMut(String)>(records: &CaseRecords, note: &mut F) -> u64 {
    let mut total = 0;
    for budget in &records.ledger.budgets {
        let mut answered = 0;
        for call in &records.calls {
            if call.budget != budget.budget {
                continue;
            }
            let Some(answer) = &call.answer else {
                continue;
            };
            answered += answer.billed;
        }
        let committed = budget.charged + budget.outstanding;
        let over = committed.max(answered).saturating_sub(budget.credited);
        if over > 0 {
            note(format!("overspend: {budget:?}, answered {answered}"));
        }
        total += over;
    }
    total
}

/// Budgets that were charged more than the charges of their keys explain.
fn unexplained_charges<F: FnMut(String)>(records: &CaseRecords, note: &mut F) -> u64 {
    let mut count = 0;
    for budget in &records.ledger.budgets {
        let mut explained = 0;
        for charge in &records.ledger.charges {
            if charge.budget == budget.budget {
                explained += charge.tokens;
            }
        }
        if budget.charged > explained {
            note(format!("unexplained charge: {budget:?}, keys {explained}"));
            count += 1;
        }
    }
    count
}

fn by_key(runs: &[ServerRun]) -> RunsByKey<'_> {
    let mut by_key = RunsByKey::new();
    for run in runs {
        by_key.entry(run.key.as_str()).or_default().push(run);
    }
    by_key
}

fn charges_by_key(records: &CaseRecords) -> BTreeMap<&str, Vec<u64>> {
    let mut charges: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for charge in &records.ledger.charges {
        charges
            .entry(charge.key.as_str())
            .or_default()
            .push(charge.tokens);
    }
    charges
}

/// The value that `percent` of the sorted `values` do not exceed.
pub fn percentile(values: &[f64], percent: usize) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let index = (values.len() * percent).div_ceil(100);
    values[index.saturating_sub(1)]
}
