//! A loopback proxy whose open connections can go silent for good while new ones work, and which can have the bandwidth
//! of a machine's link.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a kernel with keep-alive probes would have given up a silent connection of the VMs.
const PROBES_GIVE_UP: Duration = Duration::from_secs(3);

struct Link {
    client: TcpStream,
    is_silent: AtomicBool,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        Self::with_bandwidth(target, None)
    }

    /// Starts a proxy that passes on no more bytes a second to its clients, over all connections together.
    pub fn with_bandwidth(target: SocketAddr, bytes_per_s: Option<f64>) -> Self {
        let bandwidth = bytes_per_s.map(|rate| Arc::new(Bandwidth::new(rate)));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let links = Arc::new(Mutex::new(Vec::new()));
        let proxy = Self { address, links };
        let shared = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let link = Arc::new(Link {
                    client: client.try_clone().expect("a descriptor"),
                    is_silent: AtomicBool::new(false),
                });
                shared
                    .links
                    .lock()
                    .expect("no panic")
                    .push(Arc::clone(&link));
                let (client_end, server_end) = (
                    client.try_clone().expect("a descriptor"),
                    server.try_clone().expect("a descriptor"),
                );
                let there = Arc::clone(&link);
                let bandwidth = bandwidth.clone();
                thread::spawn(move || pump(client, server, &there, None));
                thread::spawn(move || pump(server_end, client_end, &link, bandwidth.as_deref()));
            }
        });
        proxy
    }

    /// Makes all open connections silent for good; returns how many there were.
    ///
    /// What keep-alive probes would show on a real path does not show on loopback, where the kernel answers them. So a
    /// connection on which the VM has armed them is closed after some seconds, as its kernel would do.
    pub fn silence(&self) -> usize {
        let links = std::mem::take(&mut *self.links.lock().expect("no panic"));
        let mut open = 0;
        for link in links {
            let Ok(peer) = link.client.peer_addr() else {
                continue;
            };
            open += 1;
            link.is_silent.store(true, Ordering::SeqCst);
            let proxy = self.address;
            thread::spawn(move || {
                thread::sleep(PROBES_GIVE_UP);
                if has_keep_alive_timer(peer, proxy) {
                    let _ = link.client.shutdown(Shutdown::Both);
                }
            });
        }
        open
    }
}

/// The bandwidth of a link, as the time at which it is free again.
struct Bandwidth {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Bandwidth {
    fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits for as long as the link takes for so many bytes.
    fn carry(&self, bytes: usize) {
        let done_at = {
            let mut free_at = self.free_at.lock().expect("no panic");
            let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link, bandwidth: Option<&Bandwidth>) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        if link.is_silent.load(Ordering::SeqCst) {
            // The peer sees neither bytes nor the end of the connection.
            if count == 0 {
                return;
            }
            continue;
        }
        if let Some(bandwidth) = bandwidth {
            bandwidth.carry(count);
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Returns whether the kernel has a keep-alive timer for the connection from `local` to `remote`.
fn has_keep_alive_timer(local: SocketAddr, remote: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let ports = (
        format!(":{:04X}", local.port()),
        format!(":{:04X}", remote.port()),
    );
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 5
            && fields[1].ends_with(&ports.0)
            && fields[2].ends_with(&ports.1)
            && fields[5].starts_with("02:")
    })
}
