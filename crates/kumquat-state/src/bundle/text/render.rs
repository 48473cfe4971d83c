//! The `render` module writes the canonical text of a bundle.

use std::fmt::Write as _;

use crate::bundle::{
    Access, Bundle, CallerKey, Class, DataCentre, Placement, Route, Service, ServiceKind, Team,
    Upstream, UpstreamState,
};
use crate::codec;
use crate::ident;

/// A part of a bundle that has a section of its own.
pub(crate) trait SectionItem {
    /// Returns the header without brackets.
    fn header(&self) -> String;
    /// Returns all keys with their values.
    fn properties(&self) -> Vec<(&'static str, String)>;
}

impl SectionItem for Team {
    fn header(&self) -> String {
        format!("team {}", self.name)
    }

    fn properties(&self) -> Vec<(&'static str, String)> {
        vec![
            ("rate", self.rate.to_string()),
            ("burst", self.burst.to_string()),
            ("weight", self.weight.to_string()),
        ]
    }
}

impl SectionItem for CallerKey {
    fn header(&self) -> String {
        format!("caller-key {}", self.name)
    }

    fn properties(&self) -> Vec<(&'static str, String)> {
        vec![
            ("digest", codec::to_hex(&self.digest.0)),
            ("team", self.team.to_string()),
        ]
    }
}

impl SectionItem for Service {
    fn header(&self) -> String {
        format!("service {}", self.name)
    }

    fn properties(&self) -> Vec<(&'static str, String)> {
        let kind = match self.kind {
            ServiceKind::Keyed => "keyed",
            ServiceKind::Pool => "pool",
        };
        let centres: Vec<&str> = self
            .data_centres
            .iter()
            .map(ident::DataCentre::as_str)
            .collect();
        vec![
            ("kind", kind.to_owned()),
            ("slots", self.slots.to_string()),
            ("deadline-ms", self.deadline.as_millis().to_string()),
            ("data-centres", centres.join(", ")),
        ]
    }
}

impl SectionItem for Route {
    fn header(&self) -> String {
        format!("route {}", self.prefix)
    }

    fn properties(&self) -> Vec<(&'static str, String)> {
        let class = match self.class {
            Class::Urgent => "urgent",
            Class::Ordinary => "ordinary",
        };
        let access = match self.access {
            Access::Open => "open",
            Access::Internal => "internal",
        };
        vec![
            ("service", self.service.to_string()),
            ("class", class.to_owned()),
            ("access", access.to_owned()),
            ("idempotent", flag(self.idempotent)),
        ]
    }
}

impl SectionItem for Upstream {
    fn header(&self) -> String {
        format!("upstream {}", self.name)
    }

    fn properties(&self) -> Vec<(&'static str, String)> {
        let state = match self.state {
            UpstreamState::Active => "active",
            UpstreamState::Draining => "draining",
        };
        vec![
            ("address", self.address.to_string()),
            ("service", self.service.to_string()),
            ("data-centre", self.data_centre.to_string()),
            ("slots", self.slots.to_string()),
            ("cold-slots", self.cold_slots.to_string()),
            ("cold-step", self.cold_step.to_string()),
            ("connections", self.connections.to_string()),
            ("checks-grants", flag(self.checks_grants)),
            ("state", state.to_owned()),
        ]
    }
}

impl SectionItem for DataCentre {
    fn header(&self) -> String {
        format!("data-centre {}", self.name)
    }

    fn properties(&self) -> Vec<(&'static str, String)> {
        let state = if self.active { "in" } else { "out" };
        vec![("state", state.to_owned())]
    }
}

impl SectionItem for Placement {
    fn header(&self) -> String {
        format!("placement {} {:016x}", self.service, self.key)
    }

    fn properties(&self) -> Vec<(&'static str, String)> {
        vec![("upstream", self.upstream.to_string())]
    }
}

/// Writes the canonical text of a bundle; [`super::parse`] reads the same bundle from it.
#[must_use]
pub fn render(bundle: &Bundle) -> String {
    let mut text = format!("[bundle]\nversion = {}\n", bundle.version);
    add(&mut text, &bundle.data_centres);
    add(&mut text, &bundle.services);
    add(&mut text, &bundle.routes);
    add(&mut text, &bundle.upstreams);
    add(&mut text, &bundle.teams);
    // By name and not by digest, so that a reviewer's comparison shows a replaced key in its place.
    let mut keys: Vec<&CallerKey> = bundle.caller_keys.iter().collect();
    keys.sort_by(|a, b| a.name.cmp(&b.name));
    add(&mut text, keys);
    add(&mut text, &bundle.placements);
    text
}

fn add<'a, T: SectionItem + 'a>(text: &mut String, items: impl IntoIterator<Item = &'a T>) {
    for item in items {
        // Writing to a string can't fail.
        _ = write!(text, "\n[{}]\n", item.header());
        for (key, value) in item.properties() {
            _ = writeln!(text, "{key} = {value}");
        }
    }
}

fn flag(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
