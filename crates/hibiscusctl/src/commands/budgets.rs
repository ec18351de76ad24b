//! `budgets`: shows every budget and who holds its tokens.

use std::process::ExitCode;

use bpaf::Parser;
use hibiscus_ledger::fold::GrantState;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_types::BudgetName;

use crate::commands::input;
use crate::commands::input::EXIT_UNREADABLE;
use crate::commands::input::LedgerOptions;
use crate::ops;

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<LedgerOptions> {
    input::ledger()
}

/// Folds every shard and prints its budgets.
pub fn exec(command: &LedgerOptions) -> ExitCode {
    let log = input::open_log(&command.log);
    for shard in 0..command.shards {
        let audit = match ops::ledger::read(&log, shard) {
            Ok(audit) => audit,
            Err(error) => {
                input::print_error(&error);
                return ExitCode::from(EXIT_UNREADABLE);
            }
        };
        let Some(fold) = audit.fold() else {
            continue;
        };
        println!("ledger/{shard} at offset {}", fold.next_offset());
        for budget in fold.budgets().keys() {
            print_budget(fold, budget);
        }
        print_open_ends(fold);
    }
    ExitCode::SUCCESS
}

/// Prints one budget and its open grants.
fn print_budget(fold: &LedgerFold, name: &BudgetName) {
    let budget = &fold.budgets()[name];
    println!(
        "{name}: team {}, credited {}, charged {}, outstanding {}, free {}",
        budget.team,
        budget.credited,
        budget.charged,
        budget.outstanding,
        budget.free()
    );
    for (id, state) in fold.grants() {
        if state.grant.budget != *name || state.is_closed() {
            continue;
        }
        println!(
            "  {} outstanding at `{}`, grant {id}{}",
            state.outstanding,
            state.grant.instance,
            why_held(state)
        );
    }
}

/// Why a grant's tokens stay with it although its holder is gone.
fn why_held(state: &GrantState) -> String {
    if state.reclaimed {
        return ", reclaimed, kept for requests without a known end; \
                `releases` frees it once the holder has stopped"
            .to_owned();
    }
    if !state.sealing {
        return String::new();
    }
    let missing: Vec<String> = state.unsealed().map(|held| held.to_string()).collect();
    format!(
        ", held: reclaim waits for witness {}; `releases` frees it once the holder has stopped",
        missing.join(" and ")
    )
}

/// Prints settlements that could not be charged and records that wait.
fn print_open_ends(fold: &LedgerFold) {
    for late in fold.late() {
        println!(
            "late: request `{}` used {} tokens under grant {}, not charged",
            late.key, late.charge, late.grant
        );
    }
    let waiting = fold.waiting().count();
    if waiting > 0 {
        println!("{waiting} records wait for the split that makes their grant");
    }
}
