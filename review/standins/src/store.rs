//! A stand-in of the platform's store, without faults of its own.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, listen, response};
use crate::json::{Json, base64};

/// Items of a page of a range, and bytes of their values; an item that is larger has a page of its own.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    // All changes with their revisions, as a watch reports them; this store keeps its whole history.
    events: Vec<(u64, String)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            revision: 100,
            next_lease: 1_000,
            ..State::default()
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = store.clone();
        listen(listener, move |connection| server.serve(connection));
        let expirer = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expirer.expire_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic elsewhere")
    }

    /// Writes an item as the operator or an upstream; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.write(key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
        state.revision
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            // A call takes four milliseconds.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.handle(request.method(), request.target(), &request.body);
            let header = "Content-Type: application/json\r\n";
            if !connection.write(&response(status, header, &body)) {
                return;
            }
        }
    }

    fn handle(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = Json::parse(body).unwrap_or(Json::Null);
        match (method, path) {
            ("GET", "/api/kv-range") => self.lock().range(query),
            ("GET", "/api/kv-watch") => self.watch(query),
            ("POST", "/api/kv-txn") => {
                let answer = self.lock().transact(&body);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "/api/kv-lease") => self.lock().start_lease(body.get("ttl-s_time").number()),
            _ => {
                let (call, id) = path.rsplit_once('/').unwrap_or((path, ""));
                let id = id.parse().unwrap_or(0);
                match (method, call) {
                    ("POST", "/api/kv-keep") => self.lock().renew(id),
                    ("DELETE", "/api/kv-lease-end") => {
                        self.lock().end_lease(id);
                        self.shared.1.notify_all();
                        (200, "{}".to_owned())
                    }
                    _ => (404, "{}".to_owned()),
                }
            }
        }
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter(query, "wait-ms").parse().unwrap_or(0);
        let prefix = parameter(query, "prefix");
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(revision, _)| *revision > after)
                .map(|(_, event)| event.as_str())
                .filter(|event| event.starts_with(&format!("{{\"key\":\"{prefix}")))
                .collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store-revision\":{revision}}}"),
                );
            }
            state = self
                .shared
                .1
                .wait_timeout(state, remaining)
                .expect("no panic elsewhere")
                .0;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.events.push((self.revision, item.render(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"rev\":{revision},\"removed\":true}}");
            self.events.push((revision, event));
        }
    }

    fn start_lease(&mut self, ttl_s: f64) -> (u16, String) {
        let ttl = Duration::from_secs_f64(ttl_s.clamp(1.0, 600.0));
        self.next_lease += 1;
        let ends_at = Instant::now() + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, ends_at });
        let (id, ttl_s) = (self.next_lease, ttl.as_secs_f64());
        (200, format!("{{\"lease\":{id},\"ttl-s_time\":{ttl_s}}}"))
    }

    fn renew(&mut self, id: u64) -> (u16, String) {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                let ttl_s = lease.ttl.as_secs_f64();
                (200, format!("{{\"lease\":{id},\"ttl-s_time\":{ttl_s}}}"))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.remove(&key);
        }
    }

    fn range(&self, query: &str) -> (u16, String) {
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in &self.items {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            if items.len() >= PAGE_ITEMS
                || bytes + item.value.len() > PAGE_BYTES && !items.is_empty()
            {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item.render(key));
        }
        let (items, revision) = (items.join(","), self.revision);
        (
            200,
            format!(
                "{{\"items\":[{items}],\"has-more\":{has_more},\"store-revision\":{revision}}}"
            ),
        )
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected-rev").list();
        let holds = |row: &Json| {
            let item = self.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("rev").integer()
        };
        if !expected.iter().all(holds) {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    Some(self.items.get(key)?.render(key))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = body.get("writes").list();
        let has_lease = |write: &Json| {
            let lease = write.get("lease").integer();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for write in writes {
            let (key, value) = (write.get("key").text(), write.get("value").text());
            self.write(key, value, write.get("lease").integer());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.revision))
    }
}

impl Item {
    fn render(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created-rev\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(other, _)| *other == name).map(|(_, v)| v);
    value
        .unwrap_or_default()
        .replace("%2F", "/")
        .replace("%2f", "/")
}
