//! The platform's store, as PROTOCOL.md describes it: items, leases, conditional writes and watches.
//!
//! Each VM reaches it by an address of its own, so that the store can reject some of them and serve the others. An entry
//! of a target shows each VM the address of that VM's own link to the target.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Json, quote};

#[derive(Clone, Debug)]
struct Item {
    key: String,
    /// In base64.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

/// A change: the item as it was written, or the revision of its removal.
#[derive(Clone, Debug)]
enum Event {
    Written(Item),
    Removed(String, u64),
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: Vec<Item>,
    events: Vec<Event>,
    /// Id, time to live and end of each lease.
    leases: Vec<(u64, Duration, Instant)>,
    next_lease: u64,
    /// Targets: key, and the entry with `ADDRESS` in place of the address.
    targets: Vec<(String, String)>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
}

/// The access of one VM to the store.
#[derive(Clone, Debug)]
pub struct Access {
    pub address: SocketAddr,
    is_rejected: Arc<AtomicBool>,
    /// Pairs of a target's key and the address of this VM's link to it.
    links: Arc<Mutex<Vec<(String, SocketAddr)>>>,
}

impl Access {
    /// Answers all calls of this VM with 503, or serves them again.
    pub fn set_rejected(&self, is_rejected: bool) {
        self.is_rejected.store(is_rejected, Ordering::SeqCst);
    }

    pub fn add_link(&self, key: &str, address: SocketAddr) {
        self.links.lock().unwrap().push((key.to_owned(), address));
    }
}

impl Store {
    pub fn start() -> Self {
        let state = State {
            revision: 1,
            next_lease: 1,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let expiring = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let now = Instant::now();
                let mut state = expiring.state.lock().unwrap();
                let ended: Vec<u64> = state
                    .leases
                    .iter()
                    .filter(|lease| lease.2 <= now)
                    .map(|lease| lease.0)
                    .collect();
                for lease in ended {
                    state.end_lease(lease);
                    expiring.changed.notify_all();
                }
            }
        });
        Self { shared }
    }

    /// Opens an address for one VM.
    pub fn open_access(&self, ip: IpAddr) -> Access {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let access = Access {
            address: listener.local_addr().expect("an address"),
            is_rejected: Arc::default(),
            links: Arc::default(),
        };
        let (store, served) = (self.clone(), access.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, access) = (store.clone(), served.clone());
                std::thread::spawn(move || store.serve(Connection::new(stream), &access));
            }
        });
        access
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.write(key, json::base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }

    /// Writes the entry of a target; `entry` has `ADDRESS` in place of the address.
    pub fn register(&self, key: &str, entry: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.targets.retain(|(other, _)| other != key);
        state.targets.push((key.to_owned(), entry.to_owned()));
        state.write(key, String::new(), 0);
        self.shared.changed.notify_all();
    }

    pub fn has(&self, key: &str) -> bool {
        let state = self.shared.state.lock().unwrap();
        state.items.iter().any(|item| item.key == key)
    }

    /// Returns the number of items whose keys begin with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.shared.state.lock().unwrap();
        state
            .items
            .iter()
            .filter(|item| item.key.starts_with(prefix))
            .count()
    }

    fn serve(&self, mut connection: Connection, access: &Access) {
        while let Ok(request) = connection.read(None) {
            let (status, body) = if access.is_rejected.load(Ordering::SeqCst) {
                (503, "{}".to_owned())
            } else {
                self.answer(&request, access)
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection
                .write(&[head.as_bytes(), body.as_bytes()].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, access: &Access) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let argument = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
        };
        let number = |name: &str| {
            argument(name)
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.shared.state.lock().unwrap();
        match path {
            "/api/kv-key" => {
                let key = argument("key").unwrap_or_default();
                match state.items.iter().find(|item| item.key == key) {
                    Some(item) => {
                        let text = state.render(item, access);
                        let fields = text.trim_end_matches('}');
                        (
                            200,
                            format!("{fields},\"store-revision\":{}}}", state.revision),
                        )
                    }
                    None => (404, format!("{{\"store-revision\":{}}}", state.revision)),
                }
            }
            "/api/kv-range" => {
                let (prefix, after) = (
                    argument("prefix").unwrap_or_default(),
                    argument("after").unwrap_or_default(),
                );
                let mut items: Vec<&Item> = state
                    .items
                    .iter()
                    .filter(|item| item.key.starts_with(&prefix) && item.key > after)
                    .collect();
                items.sort_by(|one, other| one.key.cmp(&other.key));
                let items: Vec<String> = items
                    .into_iter()
                    .map(|item| state.render(item, access))
                    .collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has-more\":false,\"store-revision\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            "/api/kv-watch" => {
                let (prefix, after) = (argument("prefix").unwrap_or_default(), number("after"));
                let deadline =
                    Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|event| {
                            event.revision() > after && event.key().starts_with(&prefix)
                        })
                        .map(|event| match event {
                            Event::Written(item) => state.render(item, access),
                            Event::Removed(key, rev) => {
                                format!("{{\"key\":{},\"rev\":{rev},\"removed\":true}}", quote(key))
                            }
                        })
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    // A watch that is waiting may be cut, as it is when the store begins to reject its VM.
                    if access.is_rejected.load(Ordering::SeqCst) {
                        return (503, "{}".to_owned());
                    }
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"store-revision\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        return (200, text);
                    }
                    let wait = left.min(Duration::from_millis(50));
                    state = self.shared.changed.wait_timeout(state, wait).unwrap().0;
                }
            }
            "/api/kv-txn" => {
                let expected = body.list("expected-rev");
                let holds = expected.iter().all(|row| {
                    let key = row.text("key").unwrap_or_default();
                    let rev = state
                        .items
                        .iter()
                        .find(|item| item.key == key)
                        .map_or(0, |item| item.rev);
                    rev as f64 == row.number("rev").unwrap_or(-1.0)
                });
                if !holds {
                    let rows = expected.iter().filter_map(|row| row.text("key"));
                    let found =
                        rows.filter_map(|key| state.items.iter().find(|item| item.key == key));
                    let items: Vec<String> = found.map(|item| state.render(item, access)).collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let lease_of = |write: &Json| write.number("lease").unwrap_or(0.0) as u64;
                let is_ended =
                    |lease: u64| lease != 0 && !state.leases.iter().any(|other| other.0 == lease);
                if body
                    .list("writes")
                    .iter()
                    .any(|write| is_ended(lease_of(write)))
                {
                    return (404, "{}".to_owned());
                }
                for write in body.list("writes") {
                    let value = write.text("value").unwrap_or_default().to_owned();
                    state.write(
                        write.text("key").unwrap_or_default(),
                        value,
                        lease_of(write),
                    );
                }
                for key in body.list("remove") {
                    if let Json::Text(key) = key {
                        state.remove(key);
                    }
                }
                self.shared.changed.notify_all();
                (200, format!("{{\"rev\":{}}}", state.revision))
            }
            "/api/kv-lease" => {
                let ttl = body.number("ttl-s_time").unwrap_or(1.0).clamp(1.0, 600.0);
                let id = state.next_lease;
                state.next_lease += 1;
                let ttl_time = Duration::from_secs_f64(ttl);
                state.leases.push((id, ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl-s_time\":{ttl}}}"))
            }
            _ => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse::<u64>().ok())
                    .unwrap_or(0);
                if path.starts_with("/api/kv-keep/") {
                    let Some(lease) = state.leases.iter_mut().find(|lease| lease.0 == id) else {
                        return (404, "{}".to_owned());
                    };
                    lease.2 = Instant::now() + lease.1;
                    return (200, format!("{{\"ttl-s_time\":{}}}", lease.1.as_secs_f64()));
                }
                if path.starts_with("/api/kv-lease-end/") {
                    state.end_lease(id);
                    self.shared.changed.notify_all();
                    return (200, "{}".to_owned());
                }
                (400, "{}".to_owned())
            }
        }
    }
}

impl Event {
    fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.rev,
            Self::Removed(_, rev) => *rev,
        }
    }

    fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed(key, _) => key,
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let before = self.items.iter().position(|item| item.key == key);
        let created = before.map_or(self.revision, |position| {
            self.items.remove(position).created
        });
        let item = Item {
            key: key.to_owned(),
            value,
            rev: self.revision,
            created,
            lease,
        };
        self.events.push(Event::Written(item.clone()));
        self.items.push(item);
    }

    fn remove(&mut self, key: &str) {
        if let Some(position) = self.items.iter().position(|item| item.key == key) {
            self.items.remove(position);
            self.revision += 1;
            self.events
                .push(Event::Removed(key.to_owned(), self.revision));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.retain(|lease| lease.0 != id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|item| id != 0 && item.lease == id)
            .map(|item| item.key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn render(&self, item: &Item, access: &Access) -> String {
        let entry = self.targets.iter().find(|(key, _)| *key == item.key);
        let value = entry.map_or_else(
            || item.value.clone(),
            |(key, entry)| {
                let links = access.links.lock().unwrap();
                let link = links.iter().find(|(target, _)| target == key);
                let address = link
                    .map(|(_, address)| address.to_string())
                    .unwrap_or_default();
                json::base64(entry.replace("ADDRESS", &address).as_bytes())
            },
        );
        format!(
            "{{\"key\":{},\"value\":\"{value}\",\"rev\":{},\"created-rev\":{},\"lease\":{}}}",
            quote(&item.key),
            item.rev,
            item.created,
            item.lease
        )
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let (b'%', Some(byte)) = (first, escaped) {
            bytes.push(byte);
            rest = &after[2..];
        } else {
            bytes.push(*first);
            rest = after;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
