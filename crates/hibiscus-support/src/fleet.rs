//! Router instances inside one process, with their platform.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::list::ListedInstance;
use hibiscus_clients::list::ListedServer;
use hibiscus_clients::list::ListedState;
use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_router::ops;
use hibiscus_router::ops::BoundAddresses;
use hibiscus_router::ops::RunningRouter;
use hibiscus_router::settings::BudgetSettings;
use hibiscus_router::settings::FleetSettings;
use hibiscus_router::settings::InstanceSettings;
use hibiscus_router::settings::LimitSettings;
use hibiscus_router::settings::ListenSettings;
use hibiscus_router::settings::PlatformSettings;
use hibiscus_router::settings::RouterSettings;
use hibiscus_types::DataCentre;
use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::codec;

use crate::keys::FleetAuthority;
use crate::list::ListStandin;
use crate::log::LogStandin;
use crate::process::RouterProcess;

/// Time between looks at a fleet that starts.
const READY_POLL: Duration = Duration::from_millis(10);

/// Time that an append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's stand-ins and the keys of one fleet.
pub struct StandinPlatform {
    /// The log service.
    pub log: LogStandin,
    /// The instance list.
    pub list: ListStandin,
    /// The fleet's certificate authority.
    pub authority: FleetAuthority,
}

impl StandinPlatform {
    /// Starts a platform without records, whose list lags by `lag`.
    pub fn start(lag: Duration) -> Self {
        Self {
            log: LogStandin::start(),
            list: ListStandin::start(lag),
            authority: FleetAuthority::generate(),
        }
    }

    /// Publishes an operators' file as the first publication.
    ///
    /// # Panics
    ///
    /// Panics when the file is faulty or the log does not take it.
    pub fn publish(&self, text: &str) {
        let file = OperatorFile::parse(text).expect("the file is correct");
        let record = ConfigRecord {
            publication: 1,
            changes: file.changes(&ConfigFold::default()),
        };
        let data = codec::encode(&record).expect("a publication encodes");
        HttpLog::new(&self.log.url(), APPEND_TIMEOUT)
            .append(CONFIG_STREAM, &data)
            .expect("the log takes the publication");
    }

    /// Settings of the instance `name` in `data_centre`, on free ports.
    pub fn settings(&self, name: &str, data_centre: &str, region: &str) -> RouterSettings {
        let keys = self.authority.issue();
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        RouterSettings {
            instance: InstanceSettings {
                name: InstanceName::from(name),
                data_centre: DataCentre::from(data_centre),
                region: region.into(),
            },
            listen: ListenSettings {
                callers: free,
                operators: free,
                peers: free,
            },
            platform: PlatformSettings {
                log: self.log.url(),
                instances: self.list.view_url(name),
            },
            fleet: FleetSettings {
                authority: keys.authority,
                certificate: keys.certificate,
                key: keys.key,
            },
            limits: LimitSettings::default(),
            budgets: BudgetSettings::default(),
        }
    }

    /// Starts an instance in this process and lists it.
    ///
    /// # Panics
    ///
    /// Panics when the instance cannot start.
    pub fn start_router(&self, settings: RouterSettings) -> RunningRouter {
        let instance = settings.instance.clone();
        let router = ops::start(settings).expect("the instance starts");
        self.list_instance(instance, router.addresses);
        router
    }

    /// Lists a router process.
    pub fn list_process(
        &self,
        name: &str,
        data_centre: &str,
        region: &str,
        process: &RouterProcess,
    ) {
        let instance = InstanceSettings {
            name: InstanceName::from(name),
            data_centre: DataCentre::from(data_centre),
            region: region.into(),
        };
        self.list_instance(instance, process.addresses);
    }

    fn list_instance(&self, instance: InstanceSettings, addresses: BoundAddresses) {
        self.list.put_instance(ListedInstance {
            name: instance.name,
            data_centre: instance.data_centre,
            region: instance.region,
            callers: addresses.callers,
            operators: addresses.operators,
            peers: addresses.peers,
            state: ListedState::Live,
        });
    }

    /// Lists a backend server.
    pub fn list_server(&self, name: &str, service: &str, data_centre: &str, address: SocketAddr) {
        self.list.put_server(ListedServer {
            name: ServerName::from(name),
            service: ServiceName::from(service),
            data_centre: DataCentre::from(data_centre),
            address,
            state: ListedState::Live,
        });
    }
}

/// Waits until every instance has a configuration and has heard of all
/// others; false when `limit` passes before.
pub fn wait_ready(routers: &[RunningRouter], limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if routers.iter().all(|router| is_ready(router, routers.len())) {
            return true;
        }
        thread::sleep(READY_POLL);
    }
    false
}

/// Whether `router` has a configuration and sees `count` ready instances.
fn is_ready(router: &RunningRouter, count: usize) -> bool {
    let context = &router.context;
    let now = hibiscus_types::UnixMillis::now();
    let seen = context.fleet.lock().ready(now).len();
    context.config.get().version > 0 && seen >= count
}
