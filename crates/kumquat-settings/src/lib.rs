//! Settings of the kumquatpond daemons and of operators, read from INI files.
//!
//! One file holds the settings of both daemons of a VM. [`open`] reports all problems of the file at once, so that an
//! operator can correct them in one go. [`operator`] reads the part that the operators' command needs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use kumquat_state::ident;

mod known;
pub mod operator;
mod problem;
mod read;
mod secret;
mod value;

pub use problem::Problem;
use read::Reader;
pub use secret::{Secret, SecretSource};

/// Settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM itself.
    pub vm: Vm,
    /// The entry daemon.
    pub entry: Entry,
    /// The dispatch daemon.
    pub dispatch: Dispatch,
    /// Addresses for the peer links of the other VMs, sorted by VM.
    pub peers: Vec<Peer>,
    /// The platform's key-value store.
    pub store: Store,
    /// Base URL of the platform's list of VMs.
    pub list: Url,
    /// Shared secrets.
    pub secrets: Secrets,
    /// Trusted signers of bundles.
    pub signers: Signers,
    /// Least severe level that is logged.
    pub log: Level,
}

/// Name and place of the VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name.
    pub name: ident::Vm,
    /// Data centre.
    pub data_centre: ident::DataCentre,
}

/// Settings of the entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for callers from the firm's own network; without it, internal routes are not served.
    pub internal: Option<SocketAddr>,
    /// Address for operators and metrics.
    pub admin: SocketAddr,
    /// Longest head of a request in bytes.
    pub header_limit: usize,
    /// Longest body of a request in bytes.
    pub body_limit: usize,
    /// Most connections of callers.
    pub connections: usize,
}

/// Settings of the dispatch daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Address for peer links.
    pub listen: SocketAddr,
    /// Address under which the peers reach `listen`.
    pub advertise: SocketAddr,
    /// Address for operators and metrics.
    pub admin: SocketAddr,
}

/// Another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM.
    pub vm: ident::Vm,
    /// Address for its peer links.
    pub address: SocketAddr,
}

/// Base URL of a platform system, by IP address and without a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Url(pub SocketAddr);

impl std::fmt::Display for Url {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

/// Settings of the store client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Base URL.
    pub url: Url,
    /// Longest time of a call.
    pub timeout: Duration,
}

/// Shared secrets, whose `Debug` form does not show them.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// Authenticates the peer links of the cell.
    pub cell: Secret,
    /// Key of the digests of caller keys.
    pub digest: Secret,
}

/// Trusted signers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signers {
    /// Public ed25519 keys, sorted by signer.
    pub keys: Vec<Signer>,
    /// Number of distinct signers that a bundle needs.
    pub threshold: usize,
}

/// One trusted signer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signer {
    /// Name of the signer.
    pub name: ident::Signer,
    /// Public ed25519 key.
    pub key: [u8; 32],
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Failures that end the process.
    Critical,
    /// Failures.
    Error,
    /// Conditions that may become failures.
    Warning,
    /// Changes of state.
    Info,
    /// Details for debugging.
    Debug,
    /// All details.
    Trace,
}

/// Reads and checks a settings file. Paths in it are relative to its folder.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn open(path: impl AsRef<Path>) -> Result<Settings, Vec<Problem>> {
    let path = path.as_ref();
    let text =
        std::fs::read_to_string(path).map_err(|error| vec![Problem::unreadable(path, &error)])?;
    parse(&text, path)
}

/// Checks the text of a settings file that would be at `path`.
///
/// # Errors
///
/// Returns all problems of the text.
pub fn parse(text: &str, path: &Path) -> Result<Settings, Vec<Problem>> {
    let mut reader = Reader::new(text, path)?;
    reader.check_keys();

    // Every value is read before the first problem ends the reading, so that all problems are reported.
    let vm = vm(&mut reader);
    let entry = entry(&mut reader);
    let dispatch = dispatch(&mut reader);
    let peers = peers(&mut reader);
    let store = store(&mut reader);
    let list = reader.required_value("list", "url", value::BASE_URL);
    let secrets = secrets(&mut reader);
    let signers = signers(&mut reader);
    let log = reader.value_or_default("log", "level", value::LOG_LEVEL, Level::Info);
    let settings = (|| {
        Some(Settings {
            vm: vm?,
            entry: entry?,
            dispatch: dispatch?,
            peers: peers?,
            store: store?,
            list: list?,
            secrets: secrets?,
            signers: signers?,
            log: log?,
        })
    })();
    if let Some(settings) = &settings {
        check_addresses(&mut reader, settings);
    }
    reader.finish(settings)
}

fn vm(reader: &mut Reader<'_>) -> Option<Vm> {
    let name = reader.required_value("vm", "name", value::name_parser());
    let data_centre = reader.required_value("vm", "data-centre", value::name_parser());
    Some(Vm {
        name: name?,
        data_centre: data_centre?,
    })
}

fn entry(reader: &mut Reader<'_>) -> Option<Entry> {
    let listen = reader.required_value("entry", "listen", value::LISTEN_ADDRESS);
    let internal = reader.optional_value("entry", "internal", value::LISTEN_ADDRESS);
    let admin = reader.required_value("entry", "admin", value::LISTEN_ADDRESS);
    let header_limit = reader.value_or_default("entry", "header-limit", value::BYTE_SIZE, 16 << 10);
    let body_limit = reader.value_or_default("entry", "body-limit", value::BYTE_SIZE, 8 << 20);
    let connections =
        reader.value_or_default("entry", "connections", value::POSITIVE_COUNT, 10_000);
    Some(Entry {
        listen: listen?,
        internal: internal?,
        admin: admin?,
        header_limit: header_limit?,
        body_limit: body_limit?,
        connections: connections?,
    })
}

fn dispatch(reader: &mut Reader<'_>) -> Option<Dispatch> {
    let listen = reader.required_value("dispatch", "listen", value::LISTEN_ADDRESS);
    let advertise = reader.required_value("dispatch", "advertise", value::ENDPOINT);
    let admin = reader.required_value("dispatch", "admin", value::LISTEN_ADDRESS);
    Some(Dispatch {
        listen: listen?,
        advertise: advertise?,
        admin: admin?,
    })
}

fn peers(reader: &mut Reader<'_>) -> Option<Vec<Peer>> {
    let own = reader.raw_value("vm", "name");
    let advertise = reader.raw_value("dispatch", "advertise");
    let mut peers = Vec::new();
    let mut complete = true;
    for (name, address) in reader.section_entries("peers") {
        let vm = reader.parse_key("peers", &name, &address);
        let parsed = reader.parse_value("peers", &name, &address, value::ENDPOINT);
        let (Some(vm), Some(parsed)) = (vm, parsed) else {
            complete = false;
            continue;
        };
        // All VMs of a cell can share one list, so the VM's own entry is allowed and left out.
        if own.as_deref() == Some(name.as_str()) {
            if advertise.as_ref().is_some_and(|own| *own != address) {
                let expected = "the own address, as in [dispatch] advertise";
                reader.add_problem("peers", &name, &address, expected);
            }
            continue;
        }
        peers.push(Peer {
            vm,
            address: parsed,
        });
    }
    peers.sort_by(|a, b| a.vm.cmp(&b.vm));
    complete.then_some(peers)
}

fn store(reader: &mut Reader<'_>) -> Option<Store> {
    let url = reader.required_value("store", "url", value::BASE_URL);
    let timeout =
        reader.value_or_default("store", "timeout", value::DURATION, Duration::from_secs(1));
    Some(Store {
        url: url?,
        timeout: timeout?,
    })
}

fn secrets(reader: &mut Reader<'_>) -> Option<Secrets> {
    let cell = reader.secret("cell");
    let digest = reader.secret("digest");
    Some(Secrets {
        cell: cell?,
        digest: digest?,
    })
}

fn signers(reader: &mut Reader<'_>) -> Option<Signers> {
    let threshold = reader.required_value("signers", "threshold", value::POSITIVE_COUNT);
    let mut keys = Vec::new();
    let mut complete = true;
    for (name, key) in reader.section_entries("signers") {
        if name == "threshold" {
            continue;
        }
        let signer = reader.parse_key("signers", &name, &key);
        let key = reader.parse_value("signers", &name, &key, value::PUBLIC_KEY);
        match (signer, key) {
            (Some(name), Some(key)) => keys.push(Signer { name, key }),
            _ => complete = false,
        }
    }
    keys.sort_by(|a, b| a.name.cmp(&b.name));

    // The same key under two names would let one person count twice.
    for (index, signer) in keys.iter().enumerate() {
        if keys[..index].iter().any(|other| other.key == signer.key) {
            let expected = "a key that no other signer has";
            reader.add_problem("signers", signer.name.as_str(), "(a public key)", expected);
        }
    }
    let threshold = threshold?;
    if complete && threshold > keys.len() {
        let expected = format!("at most the number of signers, {}", keys.len());
        reader.add_problem("signers", "threshold", &threshold.to_string(), &expected);
    }
    complete.then_some(Signers { keys, threshold })
}

/// Finds listeners of one VM that would collide.
fn check_addresses(reader: &mut Reader<'_>, settings: &Settings) {
    let internal = settings.entry.internal;
    let listeners = [
        ("entry", "listen", Some(settings.entry.listen)),
        ("entry", "internal", internal),
        ("entry", "admin", Some(settings.entry.admin)),
        ("dispatch", "listen", Some(settings.dispatch.listen)),
        ("dispatch", "admin", Some(settings.dispatch.admin)),
    ];
    let mut taken = BTreeMap::new();
    for (section, key, address) in listeners {
        // Port 0 stands for any free port.
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        if let Some(other) = taken.insert(address, format!("[{section}] {key}")) {
            let expected = format!("an address other than that of {other}");
            reader.add_problem(section, key, &address.to_string(), &expected);
        }
    }
}
