//! Daemon processes whose peers, store and upstream are reached over fault-injecting links.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use lentilway_stand_ins::link::FaultyLink;
use lentilway_stand_ins::platform::answer_faults::AnswerFaults;
use lentilway_stand_ins::platform::store::StoreServer;
use lentilway_stand_ins::platform::upstream::{UpstreamPlan, UpstreamServer};
use lentilway_stand_ins::platform::{DaemonPlan, settings_file};
use rustix::process::{Pid, Signal, kill_process};

use super::cold_upstreams::COLD_BOUNDS;
use super::history::SoakHistory;

/// Environment variable with the path of a daemon's settings file.
const SETTINGS_VARIABLE: &str = "LENTILWAY_BOOT";
/// Number of availability zones.
pub(crate) const ZONES: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// Paths that the soak uses.
#[derive(Clone, Debug)]
pub struct SoakPaths {
    /// The daemon's executable.
    pub program: PathBuf,
    /// The folder for settings files and logs.
    pub folder: PathBuf,
}

/// A daemon process, its upstream and the links between them and the rest of the fleet.
pub(crate) struct SoakNode {
    pub(crate) plan: DaemonPlan,
    settings: PathBuf,
    process: Option<Child>,
    /// Number of times the daemon was started.
    pub(crate) starts: u32,
    pub(crate) upstream: Option<UpstreamServer>,
    /// The faults of the answers of its upstreams.
    pub(crate) answer_faults: Arc<AnswerFaults>,
    upstream_listen: SocketAddr,
    upstream_starts: u32,
    calls: Vec<String>,
    pub(crate) peer_link: FaultyLink,
    pub(crate) store_link: FaultyLink,
    pub(crate) upstream_link: FaultyLink,
}

/// A separate loopback address for each node, so that its ports are still free on a restart.
fn node_ip(number: usize) -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (high & 31) << 1 | (number >> 8) as u8 & 1, middle ^ low, number as u8)
}

/// The name of a zone by its index.
pub(crate) fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}

fn free_port(ip: Ipv4Addr) -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind((ip, 0))?.local_addr()
}

impl SoakNode {
    pub(crate) async fn start(
        paths: &SoakPaths,
        number: usize,
        service: &str,
        calls: Vec<String>,
        store: &StoreServer,
        history: &Arc<SoakHistory>,
    ) -> std::io::Result<Self> {
        let ip = node_ip(number + 1);
        let inbound = free_port(ip)?;
        let upstream_listen = free_port(ip)?;
        let peer_link = FaultyLink::start(ip, inbound).await?;
        let store_link = FaultyLink::start(ip, store.address()).await?;
        let upstream_link = FaultyLink::start(ip, upstream_listen).await?;
        let name = format!("node-{number}");
        store.advertise_link(&name, peer_link.address());
        let plan = DaemonPlan {
            zone: zone_name(number % ZONES),
            service: service.to_owned(),
            upstream: upstream_link.address(),
            outbound: free_port(ip)?,
            inbound,
            ready: free_port(ip)?,
            control: free_port(ip)?,
            first_port: free_port(ip)?.port().min(u16::MAX - 1),
            store: store_link.address(),
            name,
        };
        let settings = paths.folder.join(format!("{}.toml", plan.name));
        std::fs::write(&settings, settings_file(&plan) + COLD_BOUNDS)?;
        let mut node = SoakNode {
            plan,
            settings,
            process: None,
            starts: 0,
            upstream: None,
            answer_faults: Arc::default(),
            upstream_listen,
            upstream_starts: 0,
            calls,
            peer_link,
            store_link,
            upstream_link,
        };
        node.start_daemon(paths)?;
        node.start_upstream(history).await?;
        Ok(node)
    }

    /// Starts the daemon's process.
    pub(crate) fn start_daemon(&mut self, paths: &SoakPaths) -> std::io::Result<()> {
        self.starts += 1;
        let output = create_log(&paths.folder, &self.plan.name, self.starts, "jsonl")?;
        let error_output = create_log(&paths.folder, &self.plan.name, self.starts, "err")?;
        let child = Command::new(&paths.program)
            .arg("sidecar")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdout(Stdio::from(output))
            .stderr(Stdio::from(error_output))
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Starts an upstream with a new instance id.
    pub(crate) async fn start_upstream(
        &mut self,
        history: &Arc<SoakHistory>,
    ) -> std::io::Result<()> {
        self.upstream = None;
        self.upstream_starts += 1;
        let plan = UpstreamPlan {
            service: self.plan.service.clone(),
            service_time: SERVICE_TIME,
            calls: self.calls.clone(),
            announced: self.plan.upstream,
            outbound: self.plan.outbound,
            control: self.plan.control,
            answer_faults: self.answer_faults.clone(),
        };
        let id = self.upstream_id();
        let server = UpstreamServer::start(self.upstream_listen, id, plan, history.clone()).await?;
        self.upstream = Some(server);
        Ok(())
    }

    /// The instance id of the upstream that was started last.
    pub(crate) fn upstream_id(&self) -> String {
        format!("i-{}-{}", self.plan.name, self.upstream_starts)
    }

    /// Sends a signal to the daemon's process if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            // Fails if the process has just ended.
            let _ = kill_process(Pid::from_child(process), signal);
        }
    }

    /// Whether the daemon's process has ended; drops its handle if so.
    pub(crate) fn has_ended(&mut self) -> bool {
        let ended = match &mut self.process {
            Some(process) => process.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        };
        if ended {
            self.process = None;
        }
        ended
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            // The process may have ended already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn create_log(folder: &Path, name: &str, start: u32, extension: &str) -> std::io::Result<File> {
    File::create(folder.join(format!("{name}-{start}.{extension}")))
}
