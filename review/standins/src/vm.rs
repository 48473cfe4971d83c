//! The project's program on one VM, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

/// Path of the program, as the deploy file names it, from the root of the repository.
const PROGRAM: &str = "target/release/kumquat-vm";

/// Settings that differ between the installations of the pages.
#[derive(Clone, Copy)]
pub struct Site {
    pub memory_mb: u32,
    pub contact_s: f64,
    pub link_mbps: f64,
}

pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Vm {
    /// Starts a VM at a loopback address of its own, with settings like those that `fleetbench wire` shows.
    pub fn start(
        folder: &Path,
        ip: &str,
        number: usize,
        zone: &str,
        store: SocketAddr,
        site: Site,
    ) -> Self {
        let name = format!("front-{zone}-{number}");
        let settings = folder.join(format!("{name}.conf"));
        let (memory_mb, contact_s, link_mbps) = (site.memory_mb, site.contact_s, site.link_mbps);
        let text = format!(
            "grants=call\nself.node-name={name}\nself.role=router\nself.machine-class=front\nself.serves=front\n\
             self.ip={ip}\nself.zone={zone}\nself.region=mu-north\nself.in-tolerance=false\nself.bootstrap=true\n\
             self.limits.cpu-share=0.2\nself.limits.cpu-cores=1\nself.limits.memory-mb={memory_mb}\n\
             self.limits.max-fds=4100\nself.limits.link-mbps={link_mbps:.1}\nself.limits.disk-mb=0\n\
             network.listen-addrs.front={ip}:8045\nnetwork.listen-addrs.readiness={ip}:8048\n\
             network.internal-ports=7100,7115\nnetwork.zones.mu-north-a=mu-north\n\
             network.zones.mu-north-b=mu-north\nnetwork.zones.mu-north-c=mu-north\n\
             platform.discovery=platform\nplatform.entry-mode=vip\nplatform.heartbeat-s=0.87\n\
             platform.platform.address={store}\nplatform.platform.form=kv\n\
             platform.platform.writes-per-s=400\nplatform.platform.reads-per-s=2000\n\
             platform.platform.history-s=20\nplatform.platform.value-bytes=1048576\n\
             platform.platform.ttl-min-s=1\nterms.bounds.contact-s={contact_s}\nterms.bounds.drain-s=2\n\
             terms.bounds.grace-s=6\nterms.bounds.loss-slack-s=0.2\nterms.bounds.config-converge-s=2\n\
             terms.bounds.retry-budget-ratio=0.2\nterms.bounds.retry-window-s=10\n\
             terms.bounds.retry-slack=58\nterms.bounds.hold-max-s=10\nterms.bounds.thaw-s=0.3\n"
        );
        fs::write(&settings, text).expect("a settings file");
        let mut vm = Self {
            callers: format!("{ip}:8045").parse().expect("an address"),
            readiness: format!("{ip}:8048").parse().expect("an address"),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
        };
        vm.spawn();
        vm
    }

    fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new(PROGRAM)
            .env("KUMQUATPOND_CONFIG", &self.settings)
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file's build"));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a killed process again, with the settings of a start that is not the first.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("a settings file");
        let text = text.replace("self.bootstrap=true", "self.bootstrap=false");
        fs::write(&self.settings, text).expect("a settings file");
        self.spawn();
    }

    /// Asks as the platform's balancer does; returns the time that the answer took.
    pub fn ready(&self, limit: Duration) -> Option<Duration> {
        let asked = Instant::now();
        let request = b"GET /api/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
        let answer = call(self.readiness, request, limit)?;
        (answer.status() == 200).then(|| asked.elapsed())
    }

    /// Waits until the VM is ready; returns false if that takes ten seconds.
    pub fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if self.ready(Duration::from_millis(500)).is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns how many lines of the VM's log contain a text.
    pub fn count_in_log(&self, text: &str) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
