//! Machines of the system: processes of the project's program, started as `deploy/system.toml` says.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use crate::platform::Platform;

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// What the settings of a machine hold that differs between deployments.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub zones: Vec<&'static str>,
    pub cpu_quota: f64,
    pub memory_mb: u64,
    pub link_mbps: f64,
    /// The table `[Bounds]`.
    pub bounds: &'static str,
}

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    root: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a machine and starts its process.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        ip: Ipv4Addr,
        zone: &str,
        deployment: &Deployment,
        platform: &Platform,
    ) -> io::Result<Self> {
        let Deployment { cpu_quota, memory_mb, link_mbps, bounds, .. } = deployment;
        let (store, cloud) = (platform.store, platform.cloud);
        let zones: String =
            deployment.zones.iter().map(|it| format!("{it} = \"region\"\n")).collect();
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"quincevalve-node\"\nMachineClass = \"edge\"\n\
             Serves = [\"edge\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"region\"\n\
             InternalPorts = [7600, 7615]\nBootstrap = true\nDiscovery = \"platform\"\n\
             HeartbeatMs = 1200\n[Zones]\n{zones}[Listen]\nFrontend = \"{ip}:8221\"\n\
             Ready = \"{ip}:8224\"\n[Limits]\nCpuQuota = {cpu_quota}\nCpuCores = 1\n\
             MemoryMb = {memory_mb}\nMaxFds = 4100\nLinkMbps = {link_mbps:?}\nDiskMb = 0\n\
             [Bounds]\n{bounds}\n[Platform]\nAddress = \"{store}\"\nform = \"kv\"\n\
             WritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\n\
             TtlMinMs = 1000\n[CloudApi]\nAddress = \"{cloud}\"\nRatePerS = 50.0\n\
             Duties = [\"usage_report\", \"scaling\"]\nDutiesPerS = 50.0\n"
        );
        fs::write(folder.join(format!("{name}.toml")), text)?;
        let (root, folder) = (root.to_owned(), folder.to_owned());
        let mut node = Self { name: name.to_owned(), ip, root, folder, child: None };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process with the command of the deploy file. After the first start it is no bootstrap.
    pub fn spawn(&mut self) -> io::Result<()> {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let run = deploy.lines().find_map(|it| it.strip_prefix("run = "));
        let run = run.ok_or(io::ErrorKind::NotFound)?.trim().trim_matches('"');
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let settings = self.folder.join(format!("{}.toml", self.name));
        let child = Command::new(program)
            .args(words)
            .current_dir(&self.root)
            .env_clear()
            .env("QUINCEVALVE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Notes in the settings that the system has started before.
    pub fn end_bootstrap(&self) -> io::Result<()> {
        let path = self.folder.join(format!("{}.toml", self.name));
        let text = fs::read_to_string(&path)?.replace("Bootstrap = true", "Bootstrap = false");
        fs::write(path, text)
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), 8221)
    }

    pub fn pid(&self) -> Option<i32> {
        self.child.as_ref().map(|it| it.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            kill(pid, signal);
        }
    }

    /// Returns the exit status once the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|it| it * 1_024)
    }

    /// Returns whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        use std::io::{Read, Write};
        let address = SocketAddr::new(self.ip.into(), 8224);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ =
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.starts_with("HTTP/1.1 200")
    }

    /// Waits until the machine is ready; returns `false` if it isn't in time.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
