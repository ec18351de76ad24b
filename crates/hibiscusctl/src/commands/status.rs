//! `status`: shows which configuration is in force at each live instance.

use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use hibiscus_config::load;

use crate::commands::input;
use crate::commands::input::EXIT_REFUSED;
use crate::commands::input::EXIT_UNREADABLE;
use crate::ops;
use crate::ops::status::InstanceReport;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub struct StatusCommand {
    /// Base address of the log service.
    pub log: String,
    /// Base address of the instance list.
    pub instances: String,
}

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<StatusCommand> {
    let log = input::log();
    let instances = input::instances();
    construct!(StatusCommand { log, instances })
}

/// Asks all live instances and prints their answers.
pub fn exec(command: &StatusCommand) -> ExitCode {
    let reports = match ops::status::read(&input::open_list(&command.instances)) {
        Ok(reports) => reports,
        Err(error) => {
            input::print_error(&error);
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    for report in &reports {
        println!("{}", line_of(report));
    }
    match load::load(&input::open_log(&command.log)) {
        Ok(fold) => print_lag(&reports, fold.version()),
        Err(error) => {
            input::print_error(&error);
            let highest = reports.iter().filter_map(version_of).max();
            eprintln!("hint: without the log, lag is told from the highest version seen");
            print_lag(&reports, highest.unwrap_or(0));
            ExitCode::from(EXIT_UNREADABLE)
        }
    }
}

/// The version in force at an instance.
fn version_of(report: &InstanceReport) -> Option<u64> {
    report.status.as_ref().map(|status| status.config_version)
}

/// One line on one instance.
fn line_of(report: &InstanceReport) -> String {
    let name = &report.instance.name;
    let data_centre = &report.instance.data_centre;
    let Some(status) = &report.status else {
        return format!("{name}  {data_centre}  no answer");
    };
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    format!(
        "{name}  {data_centre}  version {}  {state}",
        status.config_version
    )
}

/// Prints the instances that lag behind `version`; success when none does.
pub fn print_lag(reports: &[InstanceReport], version: u64) -> ExitCode {
    let count = reports.len();
    let lagging: Vec<String> = reports
        .iter()
        .filter(|report| report.lags(version))
        .map(InstanceReport::lag_text)
        .collect();
    if lagging.is_empty() {
        println!("version {version} is in force at all {count} live instances");
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "error: {} of {count} live instances lag behind version {version}: {}",
        lagging.len(),
        lagging.join(", ")
    );
    ExitCode::from(EXIT_REFUSED)
}
