//! A deployment of real router processes behind fault proxies.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::file::FileError;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::record::EntryChange;
use hibiscus_router::settings::RouterSettings;
use hibiscus_router::settings::SettingsError;
use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_support::process::RouterProcess;
use hibiscus_support::proxy::TcpProxy;
use hibiscus_support::proxy::UdpProxy;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use serde_json::Value;

use crate::commands::faults::load::AddressDirectory;
use crate::commands::faults::plan::DeploymentPlan;
use crate::commands::faults::records::ServerRun;
use crate::commands::faults::records::StopWindow;

/// Time that callers may keep an address in these deployments.
pub const ADDRESS_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time that a process may take for its planned stop, with the log down.
const STOP_LIMIT: Duration = Duration::from_secs(25);
/// Time that the fleet may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Time between looks at the fleet.
const READY_POLL: Duration = Duration::from_millis(50);
/// Time that one look may take.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the bench waits for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a deployment cannot run.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The operators' file is faulty.
    #[error(transparent)]
    File(#[from] FileError),
    /// The settings are faulty.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The log failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A record cannot be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The fleet did not get ready.
    #[error("failed to get all instances ready")]
    NotReady,
}

/// Result of a step.
pub type Result<T> = std::result::Result<T, DeploymentError>;

/// A model engine with its name.
struct NamedEngine {
    name: String,
    engine: EngineStandin,
}

/// The processes, their platform and the proxies between them.
pub struct FaultDeployment {
    /// Its settings.
    pub plan: &'static DeploymentPlan,
    /// The platform's stand-ins.
    pub platform: StandinPlatform,
    /// Where callers reach the instances.
    pub directory: Arc<AddressDirectory>,
    /// Planned stops so far.
    pub stops: Vec<StopWindow>,
    /// Faults that no count of the report covers.
    pub violations: Vec<String>,
    engines: Vec<NamedEngine>,
    plains: Vec<PlainStandin>,
    log: HttpLog,
    log_proxies: Vec<TcpProxy>,
    links: BTreeMap<(usize, usize), UdpProxy>,
    routers: Vec<Option<RouterProcess>>,
    settings: RouterSettings,
    published: u128,
    seed: u64,
}

/// The plan's settings with keys in place of the example's placeholders.
fn read_settings(plan: &DeploymentPlan, platform: &StandinPlatform) -> Result<RouterSettings> {
    let keys = platform.authority.issue();
    let text = plan
        .settings
        .replace("\"AUTHORITY\"", &Value::from(keys.authority).to_string())
        .replace(
            "\"CERTIFICATE\"",
            &Value::from(keys.certificate).to_string(),
        )
        .replace("\"KEY\"", &Value::from(keys.key).to_string());
    Ok(RouterSettings::parse(&text)?)
}

impl FaultDeployment {
    /// Starts all processes of `plan` and publishes its example.
    pub fn start(plan: &'static DeploymentPlan, seed: u64) -> Result<Self> {
        let platform = StandinPlatform::start(Duration::ZERO);
        let settings = read_settings(plan, &platform)?;
        let log = HttpLog::new(&platform.log.url(), APPEND_TIMEOUT);
        let mut deployment = Self {
            plan,
            platform,
            directory: Arc::default(),
            stops: Vec::new(),
            violations: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            log,
            log_proxies: Vec::new(),
            links: BTreeMap::new(),
            routers: Vec::new(),
            settings,
            published: 0,
            seed,
        };
        deployment.start_servers();
        deployment.publish_example()?;
        for index in 0..plan.instances.len() {
            let target = deployment.platform.log.address();
            deployment.log_proxies.push(TcpProxy::start(target));
            deployment.routers.push(None);
            deployment.start_router(index);
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// Tokens that a router reserves beyond prompt and answer.
    pub fn margin_tokens(&self) -> u64 {
        self.settings.budgets.margin_tokens
    }

    /// The log, past every proxy.
    pub fn log(&self) -> &HttpLog {
        &self.log
    }

    fn start_servers(&mut self) {
        let (service, count) = self.plan.plain_service;
        for number in 0..count {
            let plain = PlainStandin::start();
            let data_centre = self.plan.instances[number].1;
            let name = format!("{service}-{number}");
            self.platform
                .list_server(&name, service, data_centre, plain.address());
            self.plains.push(plain);
        }
        let (service, count) = self.plan.model_service;
        for number in 0..count {
            self.start_engine(&format!("{service}-{number}"), number);
        }
    }

    /// Starts an engine under `name`, which may have run before.
    fn start_engine(&mut self, name: &str, number: usize) {
        let engine = EngineStandin::start(EngineBehaviour::default());
        let data_centre = self.plan.instances[number % self.plan.instances.len()].1;
        let service = self.plan.model_service.0;
        self.platform
            .list_server(name, service, data_centre, engine.address());
        self.engines.push(NamedEngine {
            name: name.to_owned(),
            engine,
        });
    }

    /// Publishes the example with the top-ups of the plan.
    fn publish_example(&mut self) -> Result<()> {
        let file = OperatorFile::parse(self.plan.example)?;
        let mut changes = file.changes(&ConfigFold::default());
        for change in &mut changes {
            let Some(ConfigEntry::TopUp(top_up)) = &mut change.entry else {
                continue;
            };
            for team in &self.plan.teams {
                if top_up.budget.as_str() == team.budget {
                    top_up.tokens = TokenCount::new(team.tokens);
                }
            }
        }
        self.publish(changes)?;
        Ok(())
    }

    /// Appends `changes` as one publication; returns its offset.
    pub fn publish(&mut self, changes: Vec<EntryChange>) -> Result<u64> {
        self.published += 1;
        let record = ConfigRecord {
            publication: self.published,
            changes,
        };
        Ok(self.log.append(CONFIG_STREAM, &codec::encode(&record)?)?)
    }

    /// Starts the process at `index` and lets callers and peers reach it.
    pub fn start_router(&mut self, index: usize) {
        let (name, data_centre) = self.plan.instances[index];
        let mut settings = self.platform.settings(name, data_centre, self.plan.region);
        settings.limits = self.settings.limits.clone();
        settings.budgets = self.settings.budgets.clone();
        settings.platform.log = format!("http://{}", self.log_proxies[index].address());
        settings.limits.address_lifetime_ms =
            u64::try_from(ADDRESS_LIFETIME.as_millis()).unwrap_or(u64::MAX);
        let router = RouterProcess::start(&settings);
        for viewer in 0..self.plan.instances.len() {
            if viewer != index {
                self.lead_link(viewer, index, &router);
            }
        }
        self.platform
            .list_process(name, data_centre, self.plan.region, &router);
        self.directory.set(index, Some(router.addresses.callers));
        self.routers[index] = Some(router);
    }

    /// Leads `viewer`'s proxy towards the process at `index`.
    fn lead_link(&mut self, viewer: usize, index: usize, router: &RouterProcess) {
        let target = router.addresses.peers;
        if let Some(link) = self.links.get(&(viewer, index)) {
            link.set_target(target);
            return;
        }
        let number = (viewer * self.plan.instances.len() + index) as u64;
        let link = UdpProxy::start(target, self.seed.wrapping_add(number));
        let viewed = InstanceName::from(self.plan.instances[index].0);
        self.platform
            .list
            .set_view(self.plan.instances[viewer].0, &viewed, link.address());
        self.links.insert((viewer, index), link);
    }

    /// Waits until every instance takes requests and sees the others.
    pub fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_LIMIT;
        while Instant::now() < deadline {
            let ready = (0..self.routers.len()).all(|index| self.is_ready(index));
            if ready {
                // One more round of heartbeats shows each instance all others.
                thread::sleep(Duration::from_secs(1));
                return Ok(());
            }
            thread::sleep(READY_POLL);
        }
        Err(DeploymentError::NotReady)
    }

    fn is_ready(&self, index: usize) -> bool {
        self.status(index)
            .is_some_and(|status| status["ready"].as_bool() == Some(true))
    }

    /// The status of the instance at `index`, when it answers.
    pub fn status(&self, index: usize) -> Option<Value> {
        let router = self.routers.get(index)?.as_ref()?;
        let url = format!("http://{}/v1/status", router.addresses.operators);
        let mut response = ureq::get(&url)
            .config()
            .timeout_global(Some(STATUS_TIMEOUT))
            .build()
            .call()
            .ok()?;
        let text = response.body_mut().read_to_string().ok()?;
        serde_json::from_str(&text).ok()
    }

    /// The process at `index`, when it runs.
    pub fn router(&self, index: usize) -> Option<&RouterProcess> {
        self.routers.get(index)?.as_ref()
    }

    /// Kills the process at `index`; the list shows it gone only later.
    pub fn kill_router(&mut self, index: usize) {
        if let Some(mut router) = self.routers[index].take() {
            router.kill();
        }
    }

    /// Takes the instance at `index` off the list and off the callers' side.
    pub fn unlist_router(&mut self, index: usize) {
        let name = InstanceName::from(self.plan.instances[index].0);
        self.platform.list.remove_instance(&name);
        self.directory.set(index, None);
    }

    /// Stops the process at `index` as planned, and notes a bad exit.
    pub fn stop_router(&mut self, index: usize) {
        let Some(mut router) = self.routers[index].take() else {
            return;
        };
        // In a pair the process may be paused; a paused one cannot stop.
        router.resume();
        let from = UnixMillis::now();
        router.terminate();
        // Callers ask for addresses again before their answer expires.
        thread::sleep(ADDRESS_LIFETIME / 2);
        self.directory.set(index, None);
        let status = router.wait(STOP_LIMIT);
        if status.is_none_or(|status| !status.success()) {
            let name = self.plan.instances[index].0;
            self.violations
                .push(format!("planned stop of {name} ended with {status:?}"));
        }
        self.stops.push(StopWindow {
            instance: index,
            from,
            to: UnixMillis::now(),
        });
        self.unlist_router(index);
    }

    /// Cuts the links between `side` and the other instances, and `side` off
    /// the log; or heals all of them.
    pub fn set_partition(&self, side: &[usize], cut: bool) {
        for ((viewer, index), link) in &self.links {
            if side.contains(viewer) != side.contains(index) {
                link.set_cut(cut);
            }
        }
        for index in side {
            self.log_proxies[*index].set_cut(cut);
        }
    }

    /// Every link between two instances.
    pub fn links(&self) -> impl Iterator<Item = &UdpProxy> {
        self.links.values()
    }

    /// Replaces speed and faults of every engine.
    pub fn set_engine_behaviour(&self, behaviour: &EngineBehaviour) {
        for named in &self.engines {
            named.engine.set_behaviour(behaviour.clone());
        }
    }

    /// Marks the engine `number` as leaving; returns its name.
    pub fn mark_leaving(&self, number: usize) -> String {
        let name = self.engines[number].name.clone();
        self.platform.list.mark_leaving(&name.as_str().into());
        name
    }

    /// Replaces every engine that has stopped; returns how many had.
    pub fn replace_stopped_engines(&mut self) -> usize {
        let mut stopped = Vec::new();
        for (number, named) in self.engines.iter().enumerate() {
            let replaced = self.engines[number + 1..]
                .iter()
                .any(|later| later.name == named.name);
            if named.engine.is_stopped() && !replaced {
                stopped.push((number, named.name.clone()));
            }
        }
        for (number, name) in &stopped {
            self.start_engine(name, *number);
        }
        stopped.len()
    }

    /// Runs at the model engines.
    pub fn engine_runs(&self) -> Vec<ServerRun> {
        let mut runs = Vec::new();
        for named in &self.engines {
            for (index, run) in named.engine.runs().into_iter().enumerate() {
                runs.push(ServerRun {
                    key: run.request_id,
                    server: named.name.clone(),
                    number: index + 1,
                    started: run.started,
                    tokens: run.resumed_from + run.sent,
                });
            }
        }
        runs
    }

    /// Runs at the plain services.
    pub fn plain_runs(&self) -> Vec<ServerRun> {
        let mut runs = Vec::new();
        for (number, plain) in self.plains.iter().enumerate() {
            for (index, run) in plain.runs().into_iter().enumerate() {
                runs.push(ServerRun {
                    key: run.request_id,
                    server: format!("{}-{number}", self.plan.plain_service.0),
                    number: index + 1,
                    started: run.started,
                    tokens: 0,
                });
            }
        }
        runs
    }
}
