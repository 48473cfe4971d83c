//! Targets, and the links by which the VMs reach them.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};

/// A request that a target has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub service: String,
    pub target: String,
    pub line: String,
    pub tenant: String,
    /// Status of the target's answer.
    pub status: u16,
}

/// Bytes of an extra answer that are sent: `HTTP/1.1 200 OK`.
const CUT_BYTES: usize = 15;

/// Start of a rejection; an extra copy of one breaks off behind it.
const CUT_REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nKumquatpond-Not-Executed: 1";

/// What all targets have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a target answers the requests that it has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// With 200 and the signature.
    Sound,
    /// With 200, but one in `every` of the answers is 500; if it `has_extra` ones, the start of an extra answer comes before
    /// that, on a connection that has had an answer.
    Failing {
        /// Answers of which one is a failure.
        every: u64,
        /// Whether extra answers begin.
        has_extra: bool,
    },
    /// With 200, but 45 of 100 requests fail after they have run: with this status and the signature, and without the header
    /// that states that a request has not run.
    FailingAs(u16),
    /// With 200, but one in `every` requests is rejected without being run; if it `has_extra` ones, the start of an extra
    /// copy of the rejection comes before the next answer on the connection.
    Shedding {
        /// Requests of which one is rejected.
        every: u64,
        /// Whether extra answers begin.
        has_extra: bool,
    },
}

/// A running target.
#[derive(Clone, Debug)]
pub struct Target {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    work: Duration,
    manner: Manner,
    answers: Arc<AtomicU64>,
    runs_begun: Arc<AtomicU64>,
    runs: Runs,
}

impl Target {
    pub fn start(
        name: &str,
        service: &str,
        ip: IpAddr,
        work: Duration,
        manner: Manner,
        runs: &Runs,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let target = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            work,
            manner,
            answers: Arc::new(AtomicU64::new(1)),
            runs_begun: Arc::default(),
            runs: Arc::clone(runs),
        };
        let served = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = served.clone();
                std::thread::spawn(move || target.serve(Connection::new(stream)));
            }
        });
        target
    }

    /// Returns the entry in the store, with `ADDRESS` in place of the address.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"ADDRESS\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":4,\
             \"state\":\"ready\",\"warmup-left-s\":0,\"sequence\":1,\"born\":1700000000000}}",
            self.service
        )
    }

    fn serve(&self, mut connection: Connection) {
        let mut previous: Option<Vec<u8>> = None;
        let mut rejection: Option<Vec<u8>> = None;
        while let Ok(request) = connection.read(None) {
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            let (fails, has_extra) = match self.manner {
                Manner::Sound | Manner::FailingAs(_) => (false, false),
                Manner::Failing { every, has_extra } => (number % every == 0, has_extra),
                Manner::Shedding { every, has_extra } => {
                    let extra = rejection.take().filter(|_| has_extra);
                    let is_rejected = number % every == 0;
                    let answer = if is_rejected {
                        self.reject(&request)
                    } else {
                        self.answer(&request, false)
                    };
                    rejection = is_rejected.then(|| answer[..CUT_REJECTION.len()].to_vec());
                    if connection
                        .write(&[extra.unwrap_or_default(), answer].concat())
                        .is_err()
                    {
                        return;
                    }
                    continue;
                }
            };
            let answer = self.answer(&request, fails);
            // An extra copy of the answer before, which breaks off within its status line.
            let copied = previous.as_ref().filter(|_| fails && has_extra);
            let extra = copied.map_or(&[][..], |previous| &previous[..CUT_BYTES]);
            if connection.write(&[extra, &answer].concat()).is_err() {
                return;
            }
            previous = Some(answer);
        }
    }

    /// Returns the answer of a target that is full, which doesn't run the request.
    fn reject(&self, request: &Message) -> Vec<u8> {
        let id = request.header("kumquatpond-attempt-id").unwrap_or_default();
        format!(
            "{CUT_REJECTION}\r\nKumquatpond-Attempt-Id: {id}\r\nKumquatpond-Server-Load: 4,4,4,100\r\n\
             Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }

    fn answer(&self, request: &Message, fails: bool) -> Vec<u8> {
        let id = request.header("kumquatpond-attempt-id").unwrap_or_default();
        let load = "Kumquatpond-Server-Load: 1,0,4,100\r\nKeep-Alive: timeout=10\r\n";
        if request.target() == "/health" {
            let name = &self.name;
            return format!("HTTP/1.1 200 OK\r\nKumquatpond-Instance-Id: {name}\r\n{load}Content-Length: 0\r\n\r\n")
                .into_bytes();
        }
        if request
            .header("kumquatpond-expected-instance")
            .is_some_and(|expected| expected != self.name)
        {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nKumquatpond-Attempt-Id: {id}\r\nKumquatpond-Instance-Id: {}\r\n\
                 Kumquatpond-Not-Executed: 1\r\n{load}Content-Length: 0\r\n\r\n",
                self.name
            )
            .into_bytes();
        }
        if id.is_empty() {
            return format!(
                "HTTP/1.1 400 Bad Request\r\nKumquatpond-Not-Executed: 1\r\n{load}Content-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        let number = self.runs_begun.fetch_add(1, Ordering::SeqCst);
        let (status, reason) = match self.manner {
            Manner::FailingAs(status) if number * 45 % 100 < 45 => (status, "Service Unavailable"),
            _ if fails => (500, "Internal Server Error"),
            _ => (200, "OK"),
        };
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.to_owned(),
            service: self.service.clone(),
            target: self.name.clone(),
            line: format!("{} {}", request.method(), request.target()),
            tenant: request
                .header("kumquatpond-tenant-name")
                .unwrap_or("-")
                .to_owned(),
            status,
        });
        std::thread::sleep(self.work);
        let body = format!("{} of {}\n", self.name, self.service);
        format!(
            "HTTP/1.1 {status} {reason}\r\nKumquatpond-Attempt-Id: {id}\r\n\
             Kumquatpond-Response-Signature: 3e1b.07.5a2.{}.0.c9f2a4d1\r\n{load}Content-Length: {}\r\n\r\n{body}",
            body.len(),
            body.len()
        )
        .into_bytes()
    }
}

/// The path from one VM to one target: a proxy that a partition closes.
///
/// While it is cut, open connections are closed and new ones are refused.
#[derive(Clone, Debug)]
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    connections: Arc<AtomicU64>,
}

impl Link {
    pub fn start(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            target,
            is_cut: Arc::default(),
            open: Arc::default(),
            connections: Arc::default(),
        };
        let running = link.clone();
        std::thread::spawn(move || running.run(listener));
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn run(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_cut.load(Ordering::SeqCst) {
                // Without a listener the kernel refuses new connections.
                if listener.take().is_some() {
                    for stream in self.open.lock().unwrap().drain(..) {
                        let _ = stream.shutdown(std::net::Shutdown::Both);
                    }
                }
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let bound = match listener.take() {
                Some(bound) => bound,
                None => match TcpListener::bind(self.address) {
                    Ok(bound) => bound,
                    Err(_) => {
                        std::thread::sleep(Duration::from_millis(5));
                        continue;
                    }
                },
            };
            let _ = bound.set_nonblocking(true);
            match bound.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    self.forward(stream);
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
            listener = Some(bound);
        }
    }

    fn forward(&self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target) else {
            return;
        };
        self.connections.fetch_add(1, Ordering::SeqCst);
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let mut open = self.open.lock().unwrap();
        for (from, to) in [(&client, &server), (&server, &client)] {
            let (Ok(mut from), Ok(mut to), Ok(kept)) =
                (from.try_clone(), to.try_clone(), from.try_clone())
            else {
                return;
            };
            open.push(kept);
            std::thread::spawn(move || {
                let mut bytes = [0_u8; 16 * 1024];
                while let Ok(count @ 1..) = from.read(&mut bytes) {
                    if to.write_all(&bytes[..count]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(std::net::Shutdown::Write);
            });
        }
    }
}
