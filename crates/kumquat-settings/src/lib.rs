//! Settings of the kumquatpond daemons and of operators, read from INI files.
//!
//! One file holds the settings of both daemons of a VM. [`open`] reports all problems of the file at once, so that an
//! operator can correct them in one go. [`operator`] reads the sections that `kumquatctl` needs.

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
    /// Identity of this VM, from `[vm]`.
    pub vm: Vm,
    /// Settings of the entry daemon, from `[entry]`.
    pub entry: Entry,
    /// Settings of the dispatch daemon, from `[dispatch]`.
    pub dispatch: Dispatch,
    /// Peer link addresses of the other VMs, sorted by name; this VM is left out.
    pub peers: Vec<Peer>,
    /// Connection to the platform's key-value store, from `[store]`.
    pub store: Store,
    /// Base URL of the platform's list of VMs, from `[list]`.
    pub vm_list: BaseUrl,
    /// Secrets that all VMs share, from `[secrets]`.
    pub secrets: Secrets,
    /// Signers whose signatures on bundles are accepted, from `[signers]`.
    pub signers: Signers,
    /// Least severe level that is logged; `info` by default.
    pub log_level: LogLevel,
}

/// Identity of the VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Unique name among the VMs.
    pub name: ident::Vm,
    /// Data centre in which the VM runs.
    pub data_centre: ident::DataCentre,
}

/// Settings of the entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for callers from the internal network; without it, internal routes are not served.
    pub internal: Option<SocketAddr>,
    /// Listen address of the admin endpoints: health checks, metrics and requests of operators.
    pub admin: SocketAddr,
    /// Maximum size of a request head in bytes; 16 KiB by default.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes; 8 MiB by default.
    pub max_body_bytes: usize,
    /// Maximum number of open connections of callers; 10,000 by default.
    pub max_connections: usize,
}

/// Settings of the dispatch daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Listen address for peer links.
    pub listen: SocketAddr,
    /// Address at which the peers reach `listen`; may differ from it, such as when `listen` is unspecified.
    pub advertise: SocketAddr,
    /// Listen address of the admin endpoints: health checks, metrics and requests of operators.
    pub admin: SocketAddr,
}

/// Another VM of the cell, from `[peers]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the other VM.
    pub vm: ident::Vm,
    /// Address that its peers connect to; never port 0 or an unspecified IP address.
    pub address: SocketAddr,
}

/// Base URL of a platform service: plain HTTP to an IP address, without a path.
///
/// Displayed without a trailing slash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaseUrl(pub SocketAddr);

impl std::fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

/// Connection to the platform's key-value store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Base URL of the store.
    pub url: BaseUrl,
    /// Timeout of one call; 1 s by default.
    pub timeout: Duration,
}

/// Secrets that all VMs share; their `Debug` form is redacted.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// Pre-shared key that authenticates the peer links of the cell.
    pub cell: Secret,
    /// Key of the keyed hash under which caller keys are stored.
    pub digest_key: Secret,
}

/// Signers of bundles that the VM trusts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signers {
    /// Trusted signers, sorted by name; their public keys are distinct.
    pub keys: Vec<Signer>,
    /// Number of distinct signers that a bundle needs; from 1 to the number of `keys`.
    pub threshold: usize,
}

/// One trusted signer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signer {
    /// Name under which the signer signs bundles.
    pub name: ident::Signer,
    /// Raw ed25519 public key; not checked to be a valid curve point.
    pub key: [u8; 32],
}

/// Severity of log lines, ordered from the most severe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Failures that end the process.
    Critical,
    /// Failures after which the process keeps running.
    Error,
    /// Conditions that may become failures.
    Warning,
    /// Normal state changes.
    Info,
    /// Detail for debugging.
    Debug,
    /// The most verbose level.
    Trace,
}

/// Reads and validates a settings file, and the secret files that it names.
///
/// Relative paths in the file are resolved against its directory.
///
/// # Errors
///
/// Returns all problems of the file; one problem if it can't be read or is not INI.
pub fn open(path: impl AsRef<Path>) -> Result<Settings, Vec<Problem>> {
    let path = path.as_ref();
    let text =
        std::fs::read_to_string(path).map_err(|error| vec![Problem::unreadable(path, &error)])?;
    parse(&text, path)
}

/// Validates the text of a settings file.
///
/// The file at `path` is not read; the path appears in problems, and relative paths are resolved against its directory.
///
/// # Errors
///
/// Returns all problems of the text; one problem if it is not INI.
pub fn parse(text: &str, path: &Path) -> Result<Settings, Vec<Problem>> {
    let mut reader = Reader::new(text, path)?;
    reader.check_keys();

    // Every value is parsed before `?` gives up on the first invalid one, so that all problems are reported.
    let vm = read_vm(&mut reader);
    let entry = read_entry(&mut reader);
    let dispatch = read_dispatch(&mut reader);
    let peers = read_peers(&mut reader);
    let store = read_store(&mut reader);
    let vm_list = reader.required_value("list", "url", value::BASE_URL);
    let secrets = read_secrets(&mut reader);
    let signers = read_signers(&mut reader);
    let log_level = reader.value_or_default("log", "level", value::LOG_LEVEL, LogLevel::Info);
    let settings = (|| {
        Some(Settings {
            vm: vm?,
            entry: entry?,
            dispatch: dispatch?,
            peers: peers?,
            store: store?,
            vm_list: vm_list?,
            secrets: secrets?,
            signers: signers?,
            log_level: log_level?,
        })
    })();
    if let Some(settings) = &settings {
        check_listen_addresses(&mut reader, settings);
    }
    reader.finish(settings)
}

fn read_vm(reader: &mut Reader<'_>) -> Option<Vm> {
    let name = reader.required_value("vm", "name", value::name_parser());
    let data_centre = reader.required_value("vm", "data-centre", value::name_parser());
    Some(Vm {
        name: name?,
        data_centre: data_centre?,
    })
}

fn read_entry(reader: &mut Reader<'_>) -> Option<Entry> {
    let listen = reader.required_value("entry", "listen", value::LISTEN_ADDRESS);
    let internal = reader.optional_value("entry", "internal", value::LISTEN_ADDRESS);
    let admin = reader.required_value("entry", "admin", value::LISTEN_ADDRESS);
    let max_head_bytes =
        reader.value_or_default("entry", "header-limit", value::BYTE_SIZE, 16 << 10);
    let max_body_bytes = reader.value_or_default("entry", "body-limit", value::BYTE_SIZE, 8 << 20);
    let max_connections =
        reader.value_or_default("entry", "connections", value::POSITIVE_COUNT, 10_000);
    Some(Entry {
        listen: listen?,
        internal: internal?,
        admin: admin?,
        max_head_bytes: max_head_bytes?,
        max_body_bytes: max_body_bytes?,
        max_connections: max_connections?,
    })
}

fn read_dispatch(reader: &mut Reader<'_>) -> Option<Dispatch> {
    let listen = reader.required_value("dispatch", "listen", value::LISTEN_ADDRESS);
    let advertise = reader.required_value("dispatch", "advertise", value::ENDPOINT);
    let admin = reader.required_value("dispatch", "admin", value::LISTEN_ADDRESS);
    Some(Dispatch {
        listen: listen?,
        advertise: advertise?,
        admin: admin?,
    })
}

fn read_peers(reader: &mut Reader<'_>) -> Option<Vec<Peer>> {
    let own_name = reader.raw_value("vm", "name");
    let advertise = reader.raw_value("dispatch", "advertise");
    let mut peers = Vec::new();
    let mut all_valid = true;
    for (name, address) in reader.section_entries("peers") {
        let vm = reader.parse_key("peers", &name, &address);
        let parsed = reader.parse_value("peers", &name, &address, value::ENDPOINT);
        let (Some(vm), Some(parsed)) = (vm, parsed) else {
            all_valid = false;
            continue;
        };
        // The VM may list itself, so that all VMs of a cell can share one list of peers; its entry is left out.
        if own_name.as_deref() == Some(name.as_str()) {
            if advertise
                .as_ref()
                .is_some_and(|own_address| *own_address != address)
            {
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
    all_valid.then_some(peers)
}

fn read_store(reader: &mut Reader<'_>) -> Option<Store> {
    let url = reader.required_value("store", "url", value::BASE_URL);
    let timeout =
        reader.value_or_default("store", "timeout", value::DURATION, Duration::from_secs(1));
    Some(Store {
        url: url?,
        timeout: timeout?,
    })
}

fn read_secrets(reader: &mut Reader<'_>) -> Option<Secrets> {
    let cell = reader.secret("cell");
    let digest_key = reader.secret("digest");
    Some(Secrets {
        cell: cell?,
        digest_key: digest_key?,
    })
}

fn read_signers(reader: &mut Reader<'_>) -> Option<Signers> {
    let threshold = reader.required_value("signers", "threshold", value::POSITIVE_COUNT);
    let mut keys = Vec::new();
    let mut all_valid = true;
    for (name, key) in reader.section_entries("signers") {
        if name == "threshold" {
            continue;
        }
        let signer = reader.parse_key("signers", &name, &key);
        let key = reader.parse_value("signers", &name, &key, value::PUBLIC_KEY);
        match (signer, key) {
            (Some(name), Some(key)) => keys.push(Signer { name, key }),
            _ => all_valid = false,
        }
    }
    keys.sort_by(|a, b| a.name.cmp(&b.name));

    // With one key under two names, one person could reach a threshold of two.
    for (index, signer) in keys.iter().enumerate() {
        if keys[..index].iter().any(|other| other.key == signer.key) {
            let expected = "a key that no other signer has";
            reader.add_problem("signers", signer.name.as_str(), "(a public key)", expected);
        }
    }
    let threshold = threshold?;
    if all_valid && threshold > keys.len() {
        let expected = format!("at most the number of signers, {}", keys.len());
        reader.add_problem("signers", "threshold", &threshold.to_string(), &expected);
    }
    all_valid.then_some(Signers { keys, threshold })
}

/// Reports listeners of both daemons that have the same address and port.
fn check_listen_addresses(reader: &mut Reader<'_>, settings: &Settings) {
    let internal = settings.entry.internal;
    let listeners = [
        ("entry", "listen", Some(settings.entry.listen)),
        ("entry", "internal", internal),
        ("entry", "admin", Some(settings.entry.admin)),
        ("dispatch", "listen", Some(settings.dispatch.listen)),
        ("dispatch", "admin", Some(settings.dispatch.admin)),
    ];
    let mut keys_by_address = BTreeMap::new();
    for (section, key, address) in listeners {
        // With port 0 the operating system assigns distinct ports.
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        if let Some(other) = keys_by_address.insert(address, format!("[{section}] {key}")) {
            let expected = format!("an address other than that of {other}");
            reader.add_problem(section, key, &address.to_string(), &expected);
        }
    }
}
