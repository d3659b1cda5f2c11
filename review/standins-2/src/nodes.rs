//! Processes of the product, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::client;

/// Ports as in the users' examples.
const FRONTEND_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const PEER_PORT: u16 = 7600;
const INTERNAL_PORT: u16 = 7615;
/// The port in the command of the deploy file.
const METRICS_PORT: u16 = 9464;
/// Number of addresses that are tried for a machine, and the distance between them.
const MAX_ADDRESSES: u32 = 20;
const ADDRESS_STEP: u32 = 7_919;

/// Figures of a deployment's settings that differ between cases.
#[derive(Clone, Debug)]
pub struct Figures {
    pub zone: String,
    pub memory_mb: u32,
    pub link_mbps: u32,
}

impl Default for Figures {
    fn default() -> Self {
        Self { zone: "erding".to_owned(), memory_mb: 260, link_mbps: 1_000 }
    }
}

/// Returns a loopback address at which all ports of a machine are free.
fn free_address(index: u8) -> io::Result<IpAddr> {
    let run = std::process::id();
    for attempt in 0..MAX_ADDRESSES {
        let at = run.wrapping_add(attempt * ADDRESS_STEP);
        let ip = Ipv4Addr::new(127, 60 + (at % 120) as u8, (at / 120 % 250) as u8, 10 + index);
        let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok();
        let tcp = [FRONTEND_PORT, READY_PORT, PEER_PORT, INTERNAL_PORT, METRICS_PORT];
        if tcp.into_iter().all(is_free) && UdpSocket::bind((ip, PEER_PORT)).is_ok() {
            return Ok(IpAddr::V4(ip));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a machine. `index` distinguishes the machines of a case.
    pub fn new(
        folder: &Path,
        index: u8,
        store: SocketAddr,
        cloud: SocketAddr,
        figures: &Figures,
    ) -> io::Result<Self> {
        let ip = free_address(index)?;
        let name = format!("edge-{}-{index}", figures.zone);
        let Figures { zone, memory_mb, link_mbps } = figures;
        let text = format!(
            r#"NodeName = "{name}"
Role = "quincevalve-node"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "{zone}"
Region = "obb"
InternalPorts = [{PEER_PORT},{INTERNAL_PORT}]
SeedNodes = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
EntryPoint = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"]
[Zones]
erding = "obb"
freising = "obb"
[Listen]
Frontend = "{ip}:{FRONTEND_PORT}"
Ready = "{ip}:{READY_PORT}"
[Limits]
CpuQuota = 0.25
CpuCores = 1
MemoryMb = {memory_mb}
MaxFds = 4100
LinkMbps = {link_mbps}.0
DiskMb = 0
[FaultTolerance]
MachineLosses = 2
Zones = 1
RegionLosses = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterBoundMs = 5000
FailClosed = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetryBudgetSlack = 56
QuotaWindowS = 8
QuotaOverage = 0.1
QuotaSlack = 140000
FencingRequired = false
LeaseMs = 3000
ThawMs = 300
UsageWindowS = 5
UsageTolerance = 0.05
UsageLateS = 10
RecoverS = 12
PassMs = 120
ReuseWindowS = 10
[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
[CloudApi]
Address = "{cloud}"
RatePerS = 50.0
Duties = ["usage_report","scaling"]
DutiesPerS = 50.0
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        Ok(Self { name, ip, settings, log, child: None })
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONTEND_PORT)
    }

    /// Starts the process. Later starts don't belong to the first start of the system.
    pub fn start(&mut self) -> io::Result<()> {
        if self.log.exists() {
            let text = fs::read_to_string(&self.settings)?;
            fs::write(&self.settings, text.replace("Bootstrap = true", "Bootstrap = false"))?;
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/quincevalve-node")
            .args(["--metrics-port", &METRICS_PORT.to_string()])
            .env("QUINCEVALVE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the machine reports that it is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let address = SocketAddr::new(self.ip, READY_PORT);
        let probe = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        while Instant::now() < until {
            if client::send(address, probe.as_bytes(), Duration::from_secs(1)).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn pid(&self) -> Option<i32> {
        self.child.as_ref().map(|it| it.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: the process is a child that has not been waited for, so that its id is its own.
            unsafe { libc::kill(pid, signal) };
        }
    }

    /// Returns whether the process has ended, and forgets it then.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        if matches!(child.try_wait(), Ok(Some(_))) {
            self.child = None;
        }
        self.child.is_none()
    }

    /// Returns the resident memory in KB.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Creates a folder for settings and logs, which is removed when the case ends.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
