//! The project's program on one VM, started as the deploy file does.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::store::Access;

/// Program and arguments of the deploy file's role.
const RUN: &str = "target/release/kumquat-vm";

/// A VM; its process is killed when this is dropped.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub caller_address: SocketAddr,
    pub readiness_address: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

/// Returns ports that are free for TCP and UDP: those of callers and readiness checks, and the first of two that are 15
/// apart. All are held until they are chosen, so that no two are the same.
fn free_ports(ip: IpAddr) -> (u16, u16, u16) {
    loop {
        let [front, ready, internal] =
            [(); 3].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
        let port = |listener: &TcpListener| listener.local_addr().expect("an address").port();
        let (front, ready, first) = (port(&front), port(&ready), port(&internal));
        let is_free = first < 65_000
            && UdpSocket::bind((ip, first)).is_ok()
            && TcpListener::bind((ip, first + 15)).is_ok()
            && UdpSocket::bind((ip, first + 15)).is_ok();
        if is_free {
            return (front, ready, first);
        }
    }
}

/// Returns a loopback address for each number, different for each process of the stand-ins.
pub fn loopback(number: u8) -> IpAddr {
    let block = u8::try_from(std::process::id() % 200).expect("a small number");
    IpAddr::V4(Ipv4Addr::new(127, 20 + block, 7, number))
}

impl Vm {
    pub fn start(folder: &Path, number: u8, zone: &str, store: &Access, bootstrap: bool) -> Self {
        let ip = loopback(number);
        let name = format!("front-{zone}-{number}");
        let (front, ready, internal) = free_ports(ip);
        let settings = format!(
            "grants=call\nself.node-name={name}\nself.role=router\nself.machine-class=front\nself.serves=front\n\
             self.ip={ip}\nself.zone={zone}\nself.region=mu-north\nself.in-tolerance=false\n\
             self.bootstrap={bootstrap}\nself.limits.cpu-share=0.2\nself.limits.cpu-cores=1\n\
             self.limits.memory-mb=260\nself.limits.max-fds=4100\nself.limits.link-mbps=1000.0\n\
             self.limits.disk-mb=0\nnetwork.listen-addrs.front={ip}:{front}\n\
             network.listen-addrs.readiness={ip}:{ready}\nnetwork.internal-ports={internal},{}\n\
             network.zones.{zone}=mu-north\nplatform.discovery=platform\nplatform.entry-mode=vip\n\
             platform.heartbeat-s=0.87\nplatform.platform.address={}\nplatform.platform.form=kv\n\
             platform.platform.writes-per-s=400\nplatform.platform.reads-per-s=2000\n\
             platform.platform.history-s=20\nplatform.platform.value-bytes=1048576\nplatform.platform.ttl-min-s=1\n\
             terms.contracts=base,drain,config,cost,retry,recover,own,places,tenants,quota,platform\n\
             terms.fault-tolerance.machines=1\nterms.fault-tolerance.zones=1\nterms.fault-tolerance.regions=0\n\
             terms.bounds.contact-s=3\nterms.bounds.ack-s=4\nterms.bounds.catch-up-s=4\nterms.bounds.drain-s=2\n\
             terms.bounds.grace-s=6\nterms.bounds.loss-slack-s=0.2\nterms.bounds.config-converge-s=2\n\
             terms.bounds.rollback-slack-s=0.25\nterms.bounds.max-skew-s=5\nterms.bounds.strict-revoke=false\n\
             terms.bounds.revoke-s=5\nterms.bounds.retry-budget-ratio=0.2\nterms.bounds.retry-window-s=10\n\
             terms.bounds.retry-slack=58\nterms.bounds.quota-window-s=5\nterms.bounds.quota-overshoot=0.1\n\
             terms.bounds.quota-slack=20\nterms.bounds.warmup-overshoot=1.5\nterms.bounds.warmup-slack=5\n\
             terms.bounds.evacuate-s=5\nterms.bounds.recovery-s=15\nterms.bounds.hold-max-s=10\n\
             terms.bounds.thaw-s=0.3\nterms.bounds.seed-lag-s=3\nterms.bounds.addr-reuse-s=2\n",
            internal + 15,
            store.address
        );
        let settings_file = folder.join(format!("{name}.conf"));
        std::fs::write(&settings_file, settings).expect("a settings file");
        let mut vm = Self {
            caller_address: SocketAddr::new(ip, front),
            readiness_address: SocketAddr::new(ip, ready),
            log_file: folder.join(format!("{name}.log")),
            name,
            settings_file,
            child: None,
        };
        vm.spawn();
        vm
    }

    fn spawn(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_file)
            .expect("a log file");
        let mut command = Command::new(RUN);
        command
            .env_clear()
            .env("KUMQUATPOND_CONFIG", &self.settings_file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log);
        self.child = Some(
            command
                .spawn()
                .expect("the program of the deploy file's build"),
        );
    }

    /// Returns whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(500);
        let ready = Connection::open(self.readiness_address, Duration::from_millis(200)).and_then(
            |mut connection| {
                connection.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
                connection.read(Some(deadline))
            },
        );
        ready.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the process, which has not been waited for.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the log of the process so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until a condition holds.
pub fn wait_for(
    what: &str,
    limit: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), String> {
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() > deadline {
            return Err(format!("waited in vain for {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
