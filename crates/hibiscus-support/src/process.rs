//! Router instances as processes of their own.

use std::env;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_router::ops::BoundAddresses;
use hibiscus_router::settings::RouterSettings;
use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// Time between looks at a process that ends.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// Path of the program `name`, next to the running test or bench.
///
/// # Panics
///
/// Panics when the program was not built.
pub fn program(name: &str) -> PathBuf {
    let current = env::current_exe().expect("the running program has a path");
    let mut folder = current
        .parent()
        .expect("a program lies in a folder")
        .to_owned();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    assert!(
        path.exists(),
        "program `{name}` is missing; build it first with `cargo build --workspace`"
    );
    path
}

/// A router process. Dropping it kills the process.
pub struct RouterProcess {
    /// Addresses that it listens on.
    pub addresses: BoundAddresses,
    child: Child,
    settings_file: PathBuf,
}

impl RouterProcess {
    /// Starts a process with `settings` and waits for its addresses.
    ///
    /// # Panics
    ///
    /// Panics when the process does not start.
    pub fn start(settings: &RouterSettings) -> Self {
        let settings_file = env::temp_dir().join(format!(
            "hibiscus-{}-{}-{}.jsonc",
            std::process::id(),
            settings.instance.name,
            fastrand::u64(..)
        ));
        let text = serde_json::to_string(settings).expect("settings serialise");
        fs::write(&settings_file, text).expect("the settings file is written");
        let mut child = Command::new(program("hibiscus-router"))
            .arg(&settings_file)
            .env(
                "RUST_LOG",
                env::var("RUST_LOG").unwrap_or("error".to_owned()),
            )
            .stdout(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the router prints its addresses");
        Self {
            addresses: parse_addresses(&line),
            child,
            settings_file,
        }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`.
    pub fn signal(&self, signal: Signal) {
        signal_child(&self.child, signal);
    }

    /// Asks the process for its planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Pauses the process, which does not notice.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is there");
        let _status = self.child.wait();
    }

    /// Waits up to `limit` for the process to end.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        wait_child(&mut self.child, limit)
    }
}

/// Sends `signal` to `child`.
///
/// # Panics
///
/// Panics when the process is gone.
pub fn signal_child(child: &Child, signal: Signal) {
    let id = Pid::from_raw(i32::try_from(child.id()).expect("a process id fits"));
    signal::kill(id, signal).expect("the process is there");
}

/// Waits up to `limit` for `child` to end.
pub fn wait_child(child: &mut Child, limit: Duration) -> Option<ExitStatus> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        thread::sleep(EXIT_POLL);
    }
    None
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
        let _gone = fs::remove_file(&self.settings_file);
    }
}

/// Reads `callers=… operators=… peers=…`.
fn parse_addresses(line: &str) -> BoundAddresses {
    let field = |name: &str| -> SocketAddr {
        line.split_whitespace()
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("the router printed no {name} address: {line:?}"))
    };
    BoundAddresses {
        callers: field("callers"),
        operators: field("operators"),
        peers: field("peers"),
    }
}
