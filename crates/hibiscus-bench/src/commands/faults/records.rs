//! What callers, servers and the log recorded during one case.

use hibiscus_types::UnixMillis;

/// What kind of call a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A streamed chat completion.
    Chat,
    /// A plain call that may run again.
    Repeatable,
    /// A plain call that may run at most once.
    Exclusive,
}

/// How one attempt of a call ended at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came.
    Whole,
    /// An error answer came.
    Refused {
        /// HTTP status.
        status: u16,
        /// Value of the outcome header.
        outcome: String,
        /// The error's code.
        code: String,
    },
    /// The answer began and broke off, and was shown as broken.
    Cut,
    /// No answer came.
    Lost,
}

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Index of the instance called.
    pub instance: usize,
    /// Time of sending.
    pub started: UnixMillis,
    /// Time of its end.
    pub ended: UnixMillis,
    /// Its end.
    pub end: AttemptEnd,
}

/// The answer that a caller took as whole.
#[derive(Clone, Debug, Default)]
pub struct AnswerRecord {
    /// The text.
    pub text: String,
    /// Tokens billed by the answer's usage.
    pub billed: u64,
}

/// One call with all its attempts under one key.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The idempotency key, unique in the case.
    pub key: String,
    /// The budget that pays.
    pub budget: String,
    /// Its kind.
    pub kind: CallKind,
    /// The word that marks every token of its answer.
    pub marker: String,
    /// Tokens that a whole answer has.
    pub length: u64,
    /// Tokens of its prompt, as the engine counts them.
    pub prompt_tokens: u64,
    /// The most that it may cost.
    pub cost: u64,
    /// The attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// The answer taken as whole.
    pub answer: Option<AnswerRecord>,
    /// Milliseconds from the first attempt to the end of the last.
    pub elapsed_ms: f64,
}

/// One run at a server.
#[derive(Clone, Debug)]
pub struct ServerRun {
    /// The key received.
    pub key: String,
    /// Name of the server.
    pub server: String,
    /// Number of the run at its server, from 1.
    pub number: usize,
    /// Time of arrival.
    pub started: UnixMillis,
    /// Tokens of the answer that this run and those before it sent.
    pub tokens: u64,
}

/// A charge that took effect in the ledger.
#[derive(Clone, Debug)]
pub struct ChargeRecord {
    /// The key charged.
    pub key: String,
    /// The budget charged.
    pub budget: String,
    /// Tokens charged.
    pub tokens: u64,
    /// Time of the append.
    pub appended: UnixMillis,
}

/// A credit that took effect in the ledger.
#[derive(Clone, Debug)]
pub struct CreditRecord {
    /// The budget that grew.
    pub budget: String,
    /// Tokens added.
    pub tokens: u64,
    /// Time of the append.
    pub appended: UnixMillis,
}

/// A budget at the end of the log.
#[derive(Clone, Debug)]
pub struct BudgetTotals {
    /// The budget.
    pub budget: String,
    /// Sum of the credits.
    pub credited: u64,
    /// Sum of the charges.
    pub charged: u64,
    /// Tokens granted that may still be charged.
    pub outstanding: u64,
}

/// What the ledger says, read from the log alone.
#[derive(Clone, Debug, Default)]
pub struct LedgerFacts {
    /// Charges in order.
    pub charges: Vec<ChargeRecord>,
    /// Credits in order.
    pub credits: Vec<CreditRecord>,
    /// Every budget.
    pub budgets: Vec<BudgetTotals>,
}

/// A planned stop of one instance.
#[derive(Clone, Copy, Debug)]
pub struct StopWindow {
    /// Index of the instance.
    pub instance: usize,
    /// Time of the signal.
    pub from: UnixMillis,
    /// Time of the process's end.
    pub to: UnixMillis,
}

/// Everything that one case recorded.
#[derive(Clone, Debug, Default)]
pub struct CaseRecords {
    /// The callers' records.
    pub calls: Vec<CallRecord>,
    /// Runs at the model engines.
    pub engine_runs: Vec<ServerRun>,
    /// Runs at the plain services.
    pub plain_runs: Vec<ServerRun>,
    /// The ledger.
    pub ledger: LedgerFacts,
    /// Planned stops.
    pub stops: Vec<StopWindow>,
}
