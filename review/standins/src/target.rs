//! A sound target, which registers in the store and runs what is sent to it by name.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, listen, response};
use crate::record::Record;
use crate::store::Store;

/// What a target does with a request that it has read, in place of running it; `None` lets it run the request.
pub type Trouble = dyn Fn(&Message, &mut Connection) -> Option<bool> + Send + Sync;

pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    store: Store,
    runs: Mutex<Vec<String>>,
}

impl Target {
    /// Starts a target at a free port of 127.0.0.1 and registers it.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
        work: Duration,
        trouble: Arc<Trouble>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let target = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: since_epoch.map_or(1, |since| since.as_millis()),
            store: store.clone(),
            runs: Mutex::new(Vec::new()),
        });
        let (server, record) = (Arc::clone(&target), record.clone());
        listen(listener, move |connection| {
            server.serve(connection, &record, work, &*trouble);
        });
        target.register();
        target
    }

    /// Writes the target's entry to the store.
    pub fn register(&self) {
        let (service, address, zone, born) = (&self.service, self.address, &self.zone, self.born);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\
             \"state\":\"ready\",\"warmup-left-s\":0,\"sequence\":1,\"born\":{born}}}"
        );
        self.store.put(&self.key(), &entry);
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the ids of the requests that this target ran, in order.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no panic elsewhere").clone()
    }

    fn serve(
        &self,
        mut connection: Connection,
        record: &Record,
        work: Duration,
        trouble: &Trouble,
    ) {
        while let Some(request) = connection.read() {
            let id = request.header("Kumquatpond-Attempt-Id").unwrap_or_default();
            let echo = format!("Kumquatpond-Attempt-Id: {id}\r\n");
            let own = &self.id;
            let expected = request.header("Kumquatpond-Expected-Instance");
            let answer = if expected.is_some_and(|expected| expected != own) {
                record.line(format!("{own} rejects {id}: meant for another target"));
                response(421, &format!("{echo}Kumquatpond-Not-Executed: 1\r\n"), "")
            } else if id.is_empty() {
                response(400, "Kumquatpond-Not-Executed: 1\r\n", "")
            } else {
                match trouble(&request, &mut connection) {
                    Some(true) => continue,
                    Some(false) => return,
                    None => {}
                }
                self.runs
                    .lock()
                    .expect("no panic elsewhere")
                    .push(id.to_owned());
                record.line(format!("{own} runs {id}: {}", request.start));
                thread::sleep(work);
                let signature = "Kumquatpond-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
                response(
                    200,
                    &format!("{echo}{signature}"),
                    &format!("{own} ran {id}"),
                )
            };
            if !connection.write(&answer) {
                return;
            }
        }
    }
}

/// A target without trouble.
pub fn sound() -> Arc<Trouble> {
    Arc::new(|_, _| None)
}
