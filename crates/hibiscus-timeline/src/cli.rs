//! Command line of the program.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;

use crate::filter::EventFilter;
use crate::html;
use crate::merge;
use crate::source;
use crate::source::EventSource;
use crate::source::SourceError;
use crate::text;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct TimelineCommand {
    /// What to keep.
    pub filter: EventFilter,
    /// Writes a page instead of text.
    pub html: Option<PathBuf>,
    /// Saves everything read, unfiltered.
    pub save: Option<PathBuf>,
    /// Where to read.
    pub sources: Vec<EventSource>,
}

/// The parser of the command line.
pub fn cli() -> OptionParser<TimelineCommand> {
    let request = long("request")
        .help("Keep one request, by its key or team/key, and the instance events around it")
        .argument::<String>("KEY")
        .optional();
    let team = long("team")
        .help("Keep one team")
        .argument::<String>("NAME")
        .optional();
    let budget = long("budget")
        .help("Keep one budget")
        .argument::<String>("NAME")
        .optional();
    let server = long("server")
        .help("Keep one backend server")
        .argument::<String>("NAME")
        .optional();
    let instance = long("instance")
        .help("Keep the events that one instance recorded")
        .argument::<String>("NAME")
        .optional();
    let filter = construct!(EventFilter {
        request,
        team,
        budget,
        server,
        instance
    });
    let html = long("html")
        .help("Write one self-contained page with a lane for each process")
        .argument::<PathBuf>("FILE")
        .optional();
    let save = long("save")
        .help("Save all events read, so that they can be named as a source later")
        .argument::<PathBuf>("FILE")
        .optional();
    let sources = positional::<EventSource>("SOURCE")
        .help("Address of an instance's operators' port, or a file of saved events or log lines")
        .some("name at least one address or file");
    construct!(TimelineCommand {
        filter,
        html,
        save,
        sources
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Shows one time line of the events of several instances")
}

/// Reads, keeps, orders and shows the events.
pub fn exec(command: &TimelineCommand) -> ExitCode {
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            let mut cause = std::error::Error::source(&error);
            while let Some(inner) = cause {
                eprintln!("caused by: {inner}");
                cause = inner.source();
            }
            ExitCode::FAILURE
        }
    }
}

fn run(command: &TimelineCommand) -> source::Result<()> {
    let mut pages = Vec::new();
    for source in &command.sources {
        pages.append(&mut source.read()?);
    }
    if let Some(path) = &command.save {
        source::save(path, &pages)?;
    }
    let mut timeline = merge::merge(pages);
    timeline.events = command.filter.keep(timeline.events);
    let Some(path) = &command.html else {
        print!("{}", text::render(&timeline));
        return Ok(());
    };
    fs::write(path, html::render(&timeline)).map_err(|source| SourceError::File {
        path: path.clone(),
        source,
    })
}
