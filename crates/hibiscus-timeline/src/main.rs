//! Prints one time line of the events of several instances.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::positional;
use hibiscus_events::EventRecord;
use hibiscus_events::recorder::EventPage;
use hibiscus_timeline::merge;

/// The parser of the command line.
fn cli() -> OptionParser<Vec<SocketAddr>> {
    positional::<SocketAddr>("ADDRESS")
        .help("Address of an instance's operators' port")
        .some("name at least one address")
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Prints one time line of the events of several instances")
}

fn main() -> ExitCode {
    let mut events = Vec::new();
    for address in cli().run() {
        match read_events(address) {
            Ok(mut page) => events.append(&mut page),
            Err(error) => {
                eprintln!("error: failed to read the events of {address}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    merge::order(&mut events);
    for event in &events {
        println!(
            "{} {} {} {}",
            event.time_ns, event.instance, event.code, event.text
        );
    }
    ExitCode::SUCCESS
}

/// Reads all events of one instance.
fn read_events(address: SocketAddr) -> Result<Vec<EventRecord>, Box<ureq::Error>> {
    let url = format!("http://{address}/v1/events");
    let text = ureq::get(&url)
        .call()
        .and_then(|mut response| response.body_mut().read_to_string())
        .map_err(Box::new)?;
    let page: EventPage = serde_json::from_str(&text).unwrap_or_default();
    Ok(page.events)
}
