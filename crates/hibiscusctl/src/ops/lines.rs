//! Entries as lines of an operators' file, and changes as lines of a report.

use std::io;

use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::file::FilePlan;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::fold::EntryConflict;
use hibiscus_config::fold::EntryState;
use hibiscus_config::record::EntryChange;

/// Result of writing an entry as text.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// The line of an operators' file that holds `state`.
pub fn file_line(state: &EntryState) -> Result<String> {
    let text = match &state.entry {
        ConfigEntry::Brand(brand) => serde_json::to_string(brand)?,
        ConfigEntry::Team(team) => serde_json::to_string(team)?,
        ConfigEntry::Budget(budget) => serde_json::to_string(budget)?,
        ConfigEntry::TopUp(top_up) => serde_json::to_string(top_up)?,
        ConfigEntry::Release(release) => serde_json::to_string(release)?,
        ConfigEntry::Service(service) => serde_json::to_string(service)?,
        ConfigEntry::Route(route) => serde_json::to_string(route)?,
    };
    Ok(format!("{text}, // {}", state.asked_by))
}

/// One line on an entry that others changed.
pub fn conflict_line(conflict: &EntryConflict) -> String {
    let key = &conflict.key;
    match (conflict.offset, &conflict.asked_by) {
        (Some(offset), Some(name)) => format!("{key}: set at offset {offset}, asked by {name}"),
        _ => format!("{key}: removed since"),
    }
}

/// One line on a change over `fold`.
pub fn change_line(fold: &ConfigFold, change: &EntryChange) -> String {
    let key = &change.key;
    let name = &change.asked_by;
    let Some(held) = fold.entries().get(key) else {
        return format!("+ {key}, asked by {name}");
    };
    let before = format!("offset {}, asked by {}", held.offset, held.asked_by);
    if change.entry.is_none() {
        format!("- {key}, set at {before}")
    } else {
        format!("~ {key}, asked by {name}, replaces {before}")
    }
}

/// Writes what publishing would do.
///
/// # Errors
///
/// Fails when `out` cannot be written.
pub fn write_plan<W: io::Write>(out: &mut W, fold: &ConfigFold, plan: &FilePlan) -> io::Result<()> {
    writeln!(out, "compared with version {}", fold.version())?;
    for change in &plan.changes {
        writeln!(out, "{}", change_line(fold, change))?;
    }
    for conflict in &plan.conflicts {
        writeln!(out, "! {}", conflict_line(conflict))?;
    }
    for (key, state) in &plan.unseen {
        let line = file_line(state)?;
        writeln!(out, "? {key} has no line and stays: {line}")?;
    }
    for key in &plan.permanent {
        let reason = "what was published there is not taken back";
        writeln!(out, "= {key} has no line and stays: {reason}")?;
    }
    writeln!(out, "{}", summary(plan))
}

/// The closing line of a plan.
fn summary(plan: &FilePlan) -> String {
    if plan.conflicts.is_empty() {
        return format!("{} change(s)", plan.changes.len());
    }
    format!(
        "{} change(s), {} conflict(s): others changed lines that this file has in an older version",
        plan.changes.len(),
        plan.conflicts.len()
    )
}
