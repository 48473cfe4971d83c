//! The `read` module converts sections into the items of a bundle and validates each section by itself.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::problem::{Problem, Problems};
use super::scan::{Outline, Section};
use crate::bundle::{
    Bundle, CallerKey, DataCentre, Digest, Placement, PriorityClass, Route, RouteAccess, Service,
    ServiceKind, Team, Upstream, UpstreamState,
};
use crate::codec;
use crate::ident;

/// Maximum rate of a team, in requests per second, and maximum burst, in requests.
const MAX_RATE_AND_BURST: u32 = 100_000_000;
/// Maximum weight of a team; larger ratios would starve the other teams.
const MAX_WEIGHT: u32 = 1_000;
/// Maximum number of slots of a keyed service.
const MAX_SLOTS: u32 = 1_048_576;
/// Maximum deadline of a service, in milliseconds.
const MAX_DEADLINE_MS: u32 = 600_000;
/// Maximum number of concurrent requests of an upstream, and of connections to it.
const MAX_UPSTREAM_CONCURRENCY: u32 = 65_536;
/// Maximum number of requests that an upstream has to complete per additional slot during a cold start.
const MAX_COLD_STEP: u32 = 1_000_000;
/// Default of `cold-slots`, see `docs/design.md`, section 5.
const DEFAULT_COLD_SLOTS: u32 = 1;
/// Default of `cold-step`, see `docs/design.md`, section 5.
const DEFAULT_COLD_STEP: u32 = 8;
/// Maximum length of a path prefix, in bytes.
const PREFIX_LIMIT_BYTES: usize = 256;

/// Kinds of sections, and the number of words that follow the kind in the header.
const SECTION_KINDS: [(&str, usize); 8] = [
    ("bundle", 0),
    ("caller-key", 1),
    ("data-centre", 1),
    ("placement", 2),
    ("route", 1),
    ("service", 1),
    ("team", 1),
    ("upstream", 1),
];

/// An item with the section that it was read from.
#[derive(Debug)]
pub(super) struct Located<T> {
    /// Index of the section in [`Outline::spans`].
    pub(super) section: usize,
    /// The item.
    pub(super) value: T,
}

/// The items of all valid sections, in the order of the text.
#[derive(Debug, Default)]
pub(super) struct Draft {
    /// Version, or none if the section `bundle` is missing or invalid.
    pub(super) version: Option<ident::Version>,
    /// Sections of kind `team`.
    pub(super) teams: Vec<Located<Team>>,
    /// Sections of kind `caller-key`.
    pub(super) caller_keys: Vec<Located<CallerKey>>,
    /// Sections of kind `service`.
    pub(super) services: Vec<Located<Service>>,
    /// Sections of kind `route`.
    pub(super) routes: Vec<Located<Route>>,
    /// Sections of kind `upstream`.
    pub(super) upstreams: Vec<Located<Upstream>>,
    /// Sections of kind `data-centre`.
    pub(super) data_centres: Vec<Located<DataCentre>>,
    /// Sections of kind `placement`.
    pub(super) placements: Vec<Located<Placement>>,
}

impl Draft {
    /// Converts the draft into a bundle with sorted lists.
    pub(super) fn into_bundle(self) -> Bundle {
        fn values<T>(located: Vec<Located<T>>) -> Vec<T> {
            located.into_iter().map(|located| located.value).collect()
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

/// Reads all sections; an invalid section yields problems instead of an item.
pub(super) fn read_sections(outline: &Outline<'_>, problems: &mut Problems) -> Draft {
    let mut headers: Vec<&str> = outline.spans.iter().map(|span| &*span.header).collect();
    headers.sort_unstable();
    let mut draft = Draft::default();
    for (index, span) in outline.spans.iter().enumerate() {
        let Some((kind, argument_count)) =
            SECTION_KINDS.iter().find(|(kind, _)| *kind == span.kind())
        else {
            let kinds = SECTION_KINDS.map(|(kind, _)| kind).join(", ");
            problems.push(span.problem(
                format!("a section that starts with one of: {kinds}"),
                "correct the header or remove the section",
            ));
            continue;
        };
        if span.arguments().count() != *argument_count {
            problems.push(span.problem(
                format!("{argument_count} words after {kind:?}"),
                "correct the header; names have no spaces",
            ));
            continue;
        }
        let section = outline.section(index, problems);
        let mut reader = SectionReader {
            section: &section,
            headers: &headers,
            problems: &mut *problems,
        };
        macro_rules! push_item {
            ($list:ident, $value:expr) => {
                if let Some(value) = $value {
                    draft.$list.push(Located {
                        section: index,
                        value,
                    });
                }
            };
        }
        match *kind {
            "bundle" => draft.version = reader.bundle().or(draft.version),
            "caller-key" => push_item!(caller_keys, reader.caller_key()),
            "data-centre" => push_item!(data_centres, reader.data_centre()),
            "placement" => push_item!(placements, reader.placement()),
            "route" => push_item!(routes, reader.route()),
            "service" => push_item!(services, reader.service()),
            "team" => push_item!(teams, reader.team()),
            _ => push_item!(upstreams, reader.upstream()),
        }
    }
    draft
}

/// Reads a section and reports its problems.
///
/// Each method reads all keys of its section before it returns none, so that all problems are found in one pass.
struct SectionReader<'a> {
    section: &'a Section<'a>,
    /// Headers of all sections, sorted; references are resolved against these.
    headers: &'a [&'a str],
    problems: &'a mut Problems,
}

impl<'a> SectionReader<'a> {
    fn bundle(&mut self) -> Option<ident::Version> {
        self.check_keys(&["version"]);
        let text = self.required_value("version")?;
        let version = parse_digits(text).filter(|version| *version > 0);
        if version.is_none() {
            self.report(
                "version",
                "a whole number from 1",
                "use the version in force plus one",
            );
        }
        version.map(ident::Version)
    }

    fn team(&mut self) -> Option<Team> {
        self.check_keys(&["rate", "burst", "weight"]);
        let name = self.name_argument(0);
        let rate = self.number("rate", 0..=MAX_RATE_AND_BURST, None);
        let burst = self.number("burst", 0..=MAX_RATE_AND_BURST, None);
        let weight = self.number("weight", 1..=MAX_WEIGHT, Some(1));
        Some(Team {
            name: name?,
            rate: rate?,
            burst: burst?,
            weight: weight?,
        })
    }

    fn caller_key(&mut self) -> Option<CallerKey> {
        self.check_keys(&["digest", "team"]);
        let name = self.name_argument(0);
        let digest = self.required_value("digest").and_then(codec::from_hex);
        if digest.is_none() && self.value("digest").is_some() {
            self.report(
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
        self.check_keys(&["kind", "slots", "deadline-ms", "data-centres"]);
        let name = self.name_argument(0);
        let kind = self.choice(
            "kind",
            &[("keyed", ServiceKind::Keyed), ("pool", ServiceKind::Pool)],
            None,
        );
        let slots = match kind {
            Some(ServiceKind::Keyed) => self.number("slots", 1..=MAX_SLOTS, None),
            // Pool services have no key space that slots could divide.
            Some(ServiceKind::Pool) => self.number("slots", 0..=0, Some(0)),
            None => None,
        };
        let deadline = self.number("deadline-ms", 1..=MAX_DEADLINE_MS, None);
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
        let text = self.required_value("data-centres")?;
        let mut names = Vec::new();
        let mut valid = true;
        for part in text.split(',').map(str::trim) {
            match part.parse::<ident::DataCentre>() {
                Ok(name) if names.contains(&name) => {
                    valid = false;
                    self.report("data-centres", "each name once", "remove the repetition");
                }
                Ok(name) => names.push(name),
                Err(error) => {
                    valid = false;
                    self.report(
                        "data-centres",
                        "names of data centres, separated by commas",
                        error.to_string(),
                    );
                    continue;
                }
            }
            valid &= self.check_declared("data-centres", "data-centre", part);
        }
        names.sort();
        valid.then_some(names)
    }

    fn route(&mut self) -> Option<Route> {
        self.check_keys(&["service", "class", "access", "idempotent"]);
        let prefix = self.argument(0).to_owned();
        let valid = is_valid_prefix(&prefix);
        if !valid {
            self.problems.push(self.section.span.problem(
                format!(
                    "a path prefix of at most {PREFIX_LIMIT_BYTES} characters that starts with '/', without empty, '.' \
                     or '..' segments, of letters, digits and \"-._~/\""
                ),
                "correct the prefix, for example [route /repairs/]",
            ));
        }
        let service = self.reference("service", "service");
        let classes = [
            ("urgent", PriorityClass::Urgent),
            ("ordinary", PriorityClass::Ordinary),
        ];
        let class = self.choice("class", &classes, Some(PriorityClass::Ordinary));
        let accesses = [
            ("open", RouteAccess::Open),
            ("internal", RouteAccess::Internal),
        ];
        let access = self.choice("access", &accesses, None);
        let idempotent = self.boolean("idempotent", Some(false));
        Some(Route {
            prefix: valid.then_some(prefix)?,
            service: service?,
            class: class?,
            access: access?,
            idempotent: idempotent?,
        })
    }

    fn upstream(&mut self) -> Option<Upstream> {
        self.check_keys(&[
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
        let name = self.name_argument(0);
        let address = self.address();
        let service = self.reference("service", "service");
        let data_centre = self.reference("data-centre", "data-centre");
        let slots = self.number("slots", 1..=MAX_UPSTREAM_CONCURRENCY, None);
        let max_cold_slots = slots.unwrap_or(MAX_UPSTREAM_CONCURRENCY);
        let cold_slots = self.number("cold-slots", 1..=max_cold_slots, Some(DEFAULT_COLD_SLOTS));
        let cold_step = self.number("cold-step", 1..=MAX_COLD_STEP, Some(DEFAULT_COLD_STEP));
        // With fewer connections than slots, some slots would never be used.
        let connections = self.number(
            "connections",
            slots.unwrap_or(1)..=MAX_UPSTREAM_CONCURRENCY,
            None,
        );
        let checks_grants = self.boolean("checks-grants", None);
        let states = [
            ("active", UpstreamState::Active),
            ("draining", UpstreamState::Draining),
        ];
        let state = self.choice("state", &states, Some(UpstreamState::Active));
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
        let text = self.required_value("address")?;
        // Only the canonical notation is accepted, so that duplicates and differences are apparent in a review.
        let address = text
            .parse()
            .ok()
            .filter(|address: &SocketAddr| address.port() > 0 && address.to_string() == text);
        if address.is_none() {
            self.report(
                "address",
                "an IP address and a port above 0",
                "write it as 127.0.0.1:8080 or [::1]:8080",
            );
        }
        address
    }

    fn data_centre(&mut self) -> Option<DataCentre> {
        self.check_keys(&["state"]);
        let name = self.name_argument(0);
        let active = self.choice("state", &[("in", true), ("out", false)], Some(true));
        Some(DataCentre {
            name: name?,
            active: active?,
        })
    }

    fn placement(&mut self) -> Option<Placement> {
        self.check_keys(&["upstream"]);
        let service = self.name_argument::<ident::Service>(0);
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

    /// Reports unknown and repeated keys.
    fn check_keys(&mut self, known: &[&str]) {
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

    fn value(&self, key: &str) -> Option<&'a str> {
        self.section
            .properties
            .iter()
            .find(|property| property.key == key)
            .map(|property| property.value.as_str())
    }

    fn required_value(&mut self, key: &str) -> Option<&'a str> {
        if self.value(key).is_none() {
            self.report(key, "the key to be there", format!("add a line {key} = .."));
        }
        self.value(key)
    }

    fn report(&mut self, key: &str, expectation: impl Into<String>, remedy: impl Into<String>) {
        self.problems
            .push(self.section.value_problem(key, expectation, remedy));
    }

    fn name_argument<T: FromStr<Err = ident::NameError>>(&mut self, index: usize) -> Option<T> {
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
            && self.value(key).is_none()
        {
            return Some(default);
        }
        let number = parse_digits(self.required_value(key)?)
            .and_then(|number| u32::try_from(number).ok())
            .filter(|number| range.contains(number));
        if number.is_none() {
            self.report(
                key,
                format!("a whole number from {} to {}", range.start(), range.end()),
                "correct the number",
            );
        }
        number
    }

    fn choice<T: Copy>(
        &mut self,
        key: &str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        if default.is_some() && self.value(key).is_none() {
            return default;
        }
        let text = self.required_value(key)?;
        let found = choices
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, value)| *value);
        if found.is_none() {
            let list: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            self.report(
                key,
                format!("one of: {}", list.join(", ")),
                "correct the word",
            );
        }
        found
    }

    fn boolean(&mut self, key: &str, default: Option<bool>) -> Option<bool> {
        self.choice(key, &[("yes", true), ("no", false)], default)
    }

    fn reference<T: FromStr<Err = ident::NameError>>(
        &mut self,
        key: &str,
        kind: &str,
    ) -> Option<T> {
        let text = self.required_value(key)?.to_owned();
        match text.parse() {
            Ok(name) => self.check_declared(key, kind, &text).then_some(name),
            Err(error) => {
                self.report(key, format!("the name of a {kind}"), error.to_string());
                None
            }
        }
    }

    /// Returns whether the referenced section exists, and reports a problem if it does not.
    fn check_declared(&mut self, key: &str, kind: &str, name: &str) -> bool {
        let declared = self.is_declared(kind, name);
        if !declared {
            self.report(
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

fn parse_digits(text: &str) -> Option<u64> {
    // `u64::from_str` also accepts a leading '+'.
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

fn is_valid_prefix(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    let valid_characters = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte));
    // Only the last segment may be empty, since normalised paths have no other empty segments.
    let inner = rest.strip_suffix('/').unwrap_or(rest);
    let valid_segments = rest.is_empty()
        || inner
            .split('/')
            .all(|segment| !segment.is_empty() && segment != "." && segment != "..");
    text.len() <= PREFIX_LIMIT_BYTES && valid_characters && valid_segments
}
