//! Stand-in for the platform's instance list.
//!
//! Each viewer may see other peer addresses than the list holds, so that a
//! test can put a proxy between two instances: a viewer reads the list under
//! `/views/{viewer}/v1/instances`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::list::InstanceList;
use hibiscus_clients::list::ListChanges;
use hibiscus_clients::list::ListedInstance;
use hibiscus_clients::list::ListedServer;
use hibiscus_clients::list::ListedState;
use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use rouille::Request;
use rouille::Response;

use crate::http;
use crate::http::HttpServer;

/// Earlier versions of the list that are kept to tell changes.
const FORMER_LISTS: usize = 16;

/// Viewer and listed instance, to the peer address that the viewer sees.
type ViewMap = BTreeMap<(String, InstanceName), SocketAddr>;

/// State behind the port.
#[derive(Default)]
struct ListState {
    list: InstanceList,
    /// Lists of earlier versions, oldest first.
    former: VecDeque<InstanceList>,
    views: ViewMap,
    outage: bool,
    bytes: u64,
}

/// State and the signal of a new version.
#[derive(Default)]
struct ListShared {
    state: Mutex<ListState>,
    changed: Condvar,
}

/// An instance list on a loopback port.
pub struct ListStandin {
    server: HttpServer,
    shared: Arc<ListShared>,
    lag: Duration,
}

impl ListStandin {
    /// Starts an empty list that shows each change after `lag`.
    pub fn start(lag: Duration) -> Self {
        let shared = Arc::new(ListShared::default());
        let served = Arc::clone(&shared);
        let server = HttpServer::start("127.0.0.1:0", move |request| serve(&served, request));
        Self {
            server,
            shared,
            lag,
        }
    }

    /// Base address for a client that sees the list as it is.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Base address for `viewer`.
    pub fn view_url(&self, viewer: &str) -> String {
        format!("http://{}/views/{viewer}", self.server.address)
    }

    /// Lets `viewer` see `address` as the peer address of `instance`.
    pub fn set_view(&self, viewer: &str, instance: &InstanceName, address: SocketAddr) {
        let key = (viewer.to_owned(), instance.clone());
        self.lock().views.insert(key, address);
    }

    /// Answers every call with status 503 while `outage`.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
        self.shared.changed.notify_all();
    }

    /// Bytes of all answers.
    pub fn bytes(&self) -> u64 {
        self.lock().bytes
    }

    /// Adds or replaces an instance.
    pub fn put_instance(&self, instance: ListedInstance) {
        self.change(move |list| {
            list.instances.retain(|held| held.name != instance.name);
            list.instances.push(instance);
        });
    }

    /// Adds or replaces a server.
    pub fn put_server(&self, server: ListedServer) {
        self.change(move |list| {
            list.servers.retain(|held| held.name != server.name);
            list.servers.push(server);
        });
    }

    /// Removes an instance.
    pub fn remove_instance(&self, name: &InstanceName) {
        let name = name.clone();
        self.change(move |list| list.instances.retain(|held| held.name != name));
    }

    /// Removes a server.
    pub fn remove_server(&self, name: &ServerName) {
        let name = name.clone();
        self.change(move |list| list.servers.retain(|held| held.name != name));
    }

    /// Marks a server as leaving.
    pub fn mark_leaving(&self, name: &ServerName) {
        let name = name.clone();
        self.change(move |list| {
            for server in &mut list.servers {
                if server.name == name {
                    server.state = ListedState::Leaving;
                }
            }
        });
    }

    /// Applies `edit` after the lag, at once when there is none.
    fn change<F>(&self, edit: F)
    where
        F: FnOnce(&mut InstanceList) + Send + 'static,
    {
        let shared = Arc::clone(&self.shared);
        let lag = self.lag;
        if lag.is_zero() {
            apply(&shared, edit);
            return;
        }
        thread::spawn(move || {
            thread::sleep(lag);
            apply(&shared, edit);
        });
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.shared.state.lock().expect("the list state is whole")
    }
}

/// Applies `edit` and wakes the waiting readers.
fn apply<F: FnOnce(&mut InstanceList)>(shared: &ListShared, edit: F) {
    let mut state = shared.state.lock().expect("the list state is whole");
    let former = state.list.clone();
    state.former.push_back(former);
    if state.former.len() > FORMER_LISTS {
        state.former.pop_front();
    }
    edit(&mut state.list);
    state.list.version += 1;
    drop(state);
    shared.changed.notify_all();
}

/// Serves one call.
fn serve(shared: &ListShared, request: &Request) -> Response {
    let url = request.url();
    let viewer = match url.strip_prefix("/views/") {
        Some(rest) => rest.split('/').next().unwrap_or("").to_owned(),
        None => String::new(),
    };
    if !url.ends_with("/v1/instances") {
        return http::status(404);
    }
    let after = http::number_param(request, "after");
    let wait = Duration::from_millis(http::number_param(request, "wait_ms"));
    let deadline = Instant::now() + wait;
    let mut state = shared.state.lock().expect("the list state is whole");
    loop {
        if state.outage {
            return http::status(503);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if state.list.version != after || left.is_zero() {
            let changes = changes_for(&state, &viewer, request, after);
            let answer = serde_json::to_string(&changes).expect("a list is JSON");
            state.bytes += answer.len() as u64;
            return Response::from_data("application/json", answer);
        }
        let (woken, _timeout) = shared
            .changed
            .wait_timeout(state, left)
            .expect("the list state is whole");
        state = woken;
    }
}

/// The answer for `viewer`: what changed after `after` when it takes changes
/// and they are known, otherwise the whole list.
fn changes_for(state: &ListState, viewer: &str, request: &Request, after: u64) -> ListChanges {
    let list = seen_by(state, viewer);
    let takes_changes = http::number_param(request, "changes") == 1;
    let special = state.views.keys().any(|(name, _instance)| name == viewer);
    let mut former = state.former.iter().chain([&state.list]);
    let former = former.find(|held| held.version == after);
    let former = former.filter(|_held| takes_changes && !special);
    let mut changes = ListChanges {
        version: list.version,
        changed_after: former.map(|held| held.version),
        instances: list.instances,
        servers: list.servers,
        ..ListChanges::default()
    };
    let Some(former) = former else {
        return changes;
    };
    let present = &state.list;
    for held in &former.instances {
        if !present
            .instances
            .iter()
            .any(|other| other.name == held.name)
        {
            changes.removed_instances.push(held.name.clone());
        }
    }
    for held in &former.servers {
        if !present.servers.iter().any(|other| other.name == held.name) {
            changes.removed_servers.push(held.name.clone());
        }
    }
    changes
        .instances
        .retain(|held| !former.instances.contains(held));
    changes
        .servers
        .retain(|held| !former.servers.contains(held));
    changes
}

/// The list with the peer addresses that `viewer` sees.
fn seen_by(state: &ListState, viewer: &str) -> InstanceList {
    let mut list = state.list.clone();
    for instance in &mut list.instances {
        let key = (viewer.to_owned(), instance.name.clone());
        let Some(address) = state.views.get(&key) else {
            continue;
        };
        instance.peers = *address;
    }
    list
}
