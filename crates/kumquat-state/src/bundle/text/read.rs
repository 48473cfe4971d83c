//! The `read` module turns sections into the values of a bundle.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::problem::{Problem, Problems};
use super::scan::{Outline, Section};
use crate::bundle::{
    Access, Bundle, CallerKey, Class, DataCentre, Digest, Placement, Route, Service, ServiceKind,
    Team, Upstream, UpstreamState,
};
use crate::codec;
use crate::ident;

/// Greatest rate and burst of a team, in requests and requests per second.
const RATE_LIMIT: u32 = 100_000_000;
/// Greatest weight of a team; larger ratios would starve the others.
const WEIGHT_LIMIT: u32 = 1_000;
/// Most slots of a keyed service.
const SLOT_LIMIT: u32 = 1_048_576;
/// Longest deadline of a service, in milliseconds.
const DEADLINE_LIMIT_MS: u32 = 600_000;
/// Most requests or connections of an upstream at once.
const UPSTREAM_SLOT_LIMIT: u32 = 65_536;
/// Most requests that an upstream has to complete per additional slot during a cold start.
const COLD_STEP_LIMIT: u32 = 1_000_000;
/// Default of `cold-slots`, see `docs/design.md`, section 5.
const COLD_SLOTS: u32 = 1;
/// Default of `cold-step`, see `docs/design.md`, section 5.
const COLD_STEP: u32 = 8;
/// Longest path prefix, in bytes.
const PREFIX_LIMIT: usize = 256;

/// Kinds of sections with the number of words after the kind.
const KINDS: [(&str, usize); 8] = [
    ("bundle", 0),
    ("caller-key", 1),
    ("data-centre", 1),
    ("placement", 2),
    ("route", 1),
    ("service", 1),
    ("team", 1),
    ("upstream", 1),
];

/// A value together with the index of its section.
#[derive(Debug)]
pub(super) struct Placed<T> {
    /// Index of the section.
    pub(super) section: usize,
    /// Value.
    pub(super) value: T,
}

/// Everything that could be read.
#[derive(Debug, Default)]
pub(super) struct Draft {
    /// Version, if it could be read.
    pub(super) version: Option<ident::Version>,
    /// Teams in the order of the text, and so on below.
    pub(super) teams: Vec<Placed<Team>>,
    /// Caller keys.
    pub(super) caller_keys: Vec<Placed<CallerKey>>,
    /// Services.
    pub(super) services: Vec<Placed<Service>>,
    /// Routes.
    pub(super) routes: Vec<Placed<Route>>,
    /// Upstreams.
    pub(super) upstreams: Vec<Placed<Upstream>>,
    /// Data centres.
    pub(super) data_centres: Vec<Placed<DataCentre>>,
    /// Placements.
    pub(super) placements: Vec<Placed<Placement>>,
}

impl Draft {
    /// Returns the bundle, with all lists sorted.
    pub(super) fn into_bundle(self) -> Bundle {
        fn values<T>(placed: Vec<Placed<T>>) -> Vec<T> {
            placed.into_iter().map(|placed| placed.value).collect()
        }
        let mut bundle = Bundle {
            version: self.version.unwrap_or_default(),
            teams: values(self.teams),
            caller_keys: values(self.caller_keys),
            services: values(self.services),
            routes: values(self.routes),
            upstreams: values(self.upstreams),
            data_centres: values(self.data_centres),
            placements: values(self.placements),
        };
        bundle.sort();
        bundle
    }
}

/// Reads all sections; a section with a problem yields no value.
pub(super) fn read(outline: &Outline<'_>, problems: &mut Problems) -> Draft {
    let mut headers: Vec<&str> = outline.spans.iter().map(|span| &*span.header).collect();
    headers.sort_unstable();
    let mut draft = Draft::default();
    for (index, span) in outline.spans.iter().enumerate() {
        let Some((kind, words)) = KINDS.iter().find(|(kind, _)| *kind == span.kind()) else {
            let kinds = KINDS.map(|(kind, _)| kind).join(", ");
            problems.push(span.problem(
                format!("a section that starts with one of: {kinds}"),
                "correct the header or remove the section",
            ));
            continue;
        };
        if span.arguments().count() != *words {
            problems.push(span.problem(
                format!("{words} words after {kind:?}"),
                "correct the header; names have no spaces",
            ));
            continue;
        }
        let section = outline.section(index, problems);
        let mut reader = Reader {
            section: &section,
            headers: &headers,
            problems: &mut *problems,
        };
        macro_rules! place {
            ($list:ident, $value:expr) => {
                if let Some(value) = $value {
                    draft.$list.push(Placed {
                        section: index,
                        value,
                    });
                }
            };
        }
        match *kind {
            "bundle" => draft.version = reader.bundle().or(draft.version),
            "caller-key" => place!(caller_keys, reader.caller_key()),
            "data-centre" => place!(data_centres, reader.data_centre()),
            "placement" => place!(placements, reader.placement()),
            "route" => place!(routes, reader.route()),
            "service" => place!(services, reader.service()),
            "team" => place!(teams, reader.team()),
            _ => place!(upstreams, reader.upstream()),
        }
    }
    draft
}

/// Reads one section and reports its problems.
///
/// Each method reads all of its keys before it gives up, so that all problems are found in one pass.
struct Reader<'a> {
    section: &'a Section<'a>,
    /// Headers of all sections, sorted; references point to these.
    headers: &'a [&'a str],
    problems: &'a mut Problems,
}

impl<'a> Reader<'a> {
    fn bundle(&mut self) -> Option<ident::Version> {
        self.keys(&["version"]);
        let text = self.required("version")?;
        let version = digits(text).filter(|version| *version > 0);
        if version.is_none() {
            self.value(
                "version",
                "a whole number from 1",
                "use the version in force plus one",
            );
        }
        version.map(ident::Version)
    }

    fn team(&mut self) -> Option<Team> {
        self.keys(&["rate", "burst", "weight"]);
        let name = self.name(0);
        let rate = self.number("rate", 0..=RATE_LIMIT, None);
        let burst = self.number("burst", 0..=RATE_LIMIT, None);
        let weight = self.number("weight", 1..=WEIGHT_LIMIT, Some(1));
        Some(Team {
            name: name?,
            rate: rate?,
            burst: burst?,
            weight: weight?,
        })
    }

    fn caller_key(&mut self) -> Option<CallerKey> {
        self.keys(&["digest", "team"]);
        let name = self.name(0);
        let digest = self.required("digest").and_then(codec::from_hex);
        if digest.is_none() && self.find("digest").is_some() {
            self.value(
                "digest",
                "64 lower-case hexadecimal digits",
                "take the digest that `kumquatctl keygen caller-key` prints; never store the key itself",
            );
        }
        let team = self.reference("team", "team");
        Some(CallerKey {
            digest: Digest(digest?),
            name: name?,
            team: team?,
        })
    }

    fn service(&mut self) -> Option<Service> {
        self.keys(&["kind", "slots", "deadline-ms", "data-centres"]);
        let name = self.name(0);
        let kind = self.word(
            "kind",
            &[("keyed", ServiceKind::Keyed), ("pool", ServiceKind::Pool)],
            None,
        );
        let slots = match kind {
            Some(ServiceKind::Keyed) => self.number("slots", 1..=SLOT_LIMIT, None),
            // Slots divide a key space, which only keyed services have.
            Some(ServiceKind::Pool) => self.number("slots", 0..=0, Some(0)),
            None => None,
        };
        let deadline = self.number("deadline-ms", 1..=DEADLINE_LIMIT_MS, None);
        let data_centres = self.data_centres();
        Some(Service {
            name: name?,
            kind: kind?,
            slots: slots?,
            deadline: Duration::from_millis(u64::from(deadline?)),
            data_centres: data_centres?,
        })
    }

    fn data_centres(&mut self) -> Option<Vec<ident::DataCentre>> {
        let text = self.required("data-centres")?;
        let mut names = Vec::new();
        let mut complete = true;
        for part in text.split(',').map(str::trim) {
            match part.parse::<ident::DataCentre>() {
                Ok(name) if names.contains(&name) => {
                    complete = false;
                    self.value("data-centres", "each name once", "remove the repetition");
                }
                Ok(name) => names.push(name),
                Err(error) => {
                    complete = false;
                    self.value(
                        "data-centres",
                        "names of data centres, separated by commas",
                        error.to_string(),
                    );
                    continue;
                }
            }
            complete &= self.declared("data-centres", "data-centre", part);
        }
        names.sort();
        complete.then_some(names)
    }

    fn route(&mut self) -> Option<Route> {
        self.keys(&["service", "class", "access", "idempotent"]);
        let prefix = self.argument(0).to_owned();
        let valid = is_prefix(&prefix);
        if !valid {
            self.problems.push(self.section.span.problem(
                format!(
                    "a path prefix of at most {PREFIX_LIMIT} characters that starts with '/', without empty, '.' or \
                     '..' segments, of letters, digits and \"-._~/\""
                ),
                "correct the prefix, for example [route /repairs/]",
            ));
        }
        let service = self.reference("service", "service");
        let classes = [("urgent", Class::Urgent), ("ordinary", Class::Ordinary)];
        let class = self.word("class", &classes, Some(Class::Ordinary));
        let accesses = [("open", Access::Open), ("internal", Access::Internal)];
        let access = self.word("access", &accesses, None);
        let idempotent = self.flag("idempotent", Some(false));
        Some(Route {
            prefix: valid.then_some(prefix)?,
            service: service?,
            class: class?,
            access: access?,
            idempotent: idempotent?,
        })
    }

    fn upstream(&mut self) -> Option<Upstream> {
        self.keys(&[
            "address",
            "service",
            "data-centre",
            "slots",
            "cold-slots",
            "cold-step",
            "connections",
            "checks-grants",
            "state",
        ]);
        let name = self.name(0);
        let address = self.address();
        let service = self.reference("service", "service");
        let data_centre = self.reference("data-centre", "data-centre");
        let slots = self.number("slots", 1..=UPSTREAM_SLOT_LIMIT, None);
        let most = slots.unwrap_or(UPSTREAM_SLOT_LIMIT);
        let cold_slots = self.number("cold-slots", 1..=most, Some(COLD_SLOTS));
        let cold_step = self.number("cold-step", 1..=COLD_STEP_LIMIT, Some(COLD_STEP));
        // With fewer connections than slots, some slots could never be used.
        let connections = self.number(
            "connections",
            slots.unwrap_or(1)..=UPSTREAM_SLOT_LIMIT,
            None,
        );
        let checks_grants = self.flag("checks-grants", None);
        let states = [
            ("active", UpstreamState::Active),
            ("draining", UpstreamState::Draining),
        ];
        let state = self.word("state", &states, Some(UpstreamState::Active));
        Some(Upstream {
            name: name?,
            address: address?,
            service: service?,
            data_centre: data_centre?,
            slots: slots?,
            cold_slots: cold_slots?,
            cold_step: cold_step?,
            connections: connections?,
            checks_grants: checks_grants?,
            state: state?,
        })
    }

    fn address(&mut self) -> Option<SocketAddr> {
        let text = self.required("address")?;
        // Only the canonical spelling is accepted, so that duplicates and differences are visible to reviewers.
        let address = text
            .parse()
            .ok()
            .filter(|address: &SocketAddr| address.port() > 0 && address.to_string() == text);
        if address.is_none() {
            self.value(
                "address",
                "an IP address and a port above 0",
                "write it as 127.0.0.1:8080 or [::1]:8080",
            );
        }
        address
    }

    fn data_centre(&mut self) -> Option<DataCentre> {
        self.keys(&["state"]);
        let name = self.name(0);
        let active = self.word("state", &[("in", true), ("out", false)], Some(true));
        Some(DataCentre {
            name: name?,
            active: active?,
        })
    }

    fn placement(&mut self) -> Option<Placement> {
        self.keys(&["upstream"]);
        let service = self.name::<ident::Service>(0);
        if let Some(service) = &service
            && !self.is_declared("service", service.as_str())
        {
            self.problems.push(self.section.span.problem(
                format!("a service that has a section [service {service}]"),
                "correct the name or add the section",
            ));
        }
        let key = codec::from_hex(self.argument(1)).map(u64::from_be_bytes);
        if key.is_none() {
            self.problems.push(self.section.span.problem(
                "the hash of the key as 16 lower-case hexadecimal digits",
                "take the section that `kumquatctl place` writes",
            ));
        }
        let upstream = self.reference("upstream", "upstream");
        Some(Placement {
            service: service?,
            key: key?,
            upstream: upstream?,
        })
    }

    /// Reports keys that are not in `known`, and repeated keys.
    fn keys(&mut self, known: &[&str]) {
        let mut seen = Vec::new();
        for property in &self.section.properties {
            let key = property.key.as_str();
            let problem = Problem {
                line: Some(property.line),
                key: Some(property.key.clone()),
                value: Some(property.value.clone()),
                ..self.section.span.problem("", "")
            };
            if !known.contains(&key) {
                self.problems.push(Problem {
                    expectation: format!("one of the keys {}", known.join(", ")),
                    remedy: "correct or remove the key".to_owned(),
                    ..problem
                });
            } else if seen.contains(&key) {
                self.problems.push(Problem {
                    expectation: "each key once in a section".to_owned(),
                    remedy: "keep one of the lines".to_owned(),
                    ..problem
                });
            } else {
                seen.push(key);
            }
        }
    }

    fn argument(&self, index: usize) -> &'a str {
        self.section.span.arguments().nth(index).unwrap_or_default()
    }

    fn find(&self, key: &str) -> Option<&'a str> {
        self.section
            .properties
            .iter()
            .find(|property| property.key == key)
            .map(|property| property.value.as_str())
    }

    fn required(&mut self, key: &str) -> Option<&'a str> {
        if self.find(key).is_none() {
            self.value(key, "the key to be there", format!("add a line {key} = .."));
        }
        self.find(key)
    }

    fn value(&mut self, key: &str, expectation: impl Into<String>, remedy: impl Into<String>) {
        self.problems
            .push(self.section.value_problem(key, expectation, remedy));
    }

    fn name<T: FromStr<Err = ident::NameError>>(&mut self, index: usize) -> Option<T> {
        let parsed = self.argument(index).parse();
        parsed
            .map_err(|error: ident::NameError| {
                self.problems.push(
                    self.section
                        .span
                        .problem("a valid name in the header", error.to_string()),
                );
            })
            .ok()
    }

    fn number(
        &mut self,
        key: &str,
        range: RangeInclusive<u32>,
        default: Option<u32>,
    ) -> Option<u32> {
        if let Some(default) = default
            && self.find(key).is_none()
        {
            return Some(default);
        }
        let number = digits(self.required(key)?)
            .and_then(|number| u32::try_from(number).ok())
            .filter(|number| range.contains(number));
        if number.is_none() {
            self.value(
                key,
                format!("a whole number from {} to {}", range.start(), range.end()),
                "correct the number",
            );
        }
        number
    }

    fn word<T: Copy>(&mut self, key: &str, words: &[(&str, T)], default: Option<T>) -> Option<T> {
        if default.is_some() && self.find(key).is_none() {
            return default;
        }
        let text = self.required(key)?;
        let found = words
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, value)| *value);
        if found.is_none() {
            let list: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.value(
                key,
                format!("one of: {}", list.join(", ")),
                "correct the word",
            );
        }
        found
    }

    fn flag(&mut self, key: &str, default: Option<bool>) -> Option<bool> {
        self.word(key, &[("yes", true), ("no", false)], default)
    }

    fn reference<T: FromStr<Err = ident::NameError>>(
        &mut self,
        key: &str,
        kind: &str,
    ) -> Option<T> {
        let text = self.required(key)?.to_owned();
        match text.parse() {
            Ok(name) => self.declared(key, kind, &text).then_some(name),
            Err(error) => {
                self.value(key, format!("the name of a {kind}"), error.to_string());
                None
            }
        }
    }

    /// Reports a reference to a section that is not there, and returns whether it is there.
    fn declared(&mut self, key: &str, kind: &str, name: &str) -> bool {
        let declared = self.is_declared(kind, name);
        if !declared {
            self.value(
                key,
                format!("a {kind} that has a section [{kind} {name}]"),
                "correct the name or add the section",
            );
        }
        declared
    }

    fn is_declared(&self, kind: &str, name: &str) -> bool {
        self.headers
            .binary_search(&format!("{kind} {name}").as_str())
            .is_ok()
    }
}

fn digits(text: &str) -> Option<u64> {
    // The standard parser also accepts a leading '+'.
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

fn is_prefix(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    let characters = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte));
    // Only the last segment may be empty; others would never match a normalised path.
    let inner = rest.strip_suffix('/').unwrap_or(rest);
    let segments = rest.is_empty()
        || inner
            .split('/')
            .all(|segment| !segment.is_empty() && segment != "." && segment != "..");
    text.len() <= PREFIX_LIMIT && characters && segments
}
