//! The `render` module writes the canonical text form of a bundle.

use std::fmt::Write as _;

use crate::bundle::{
    Bundle, CallerKey, DataCentre, Placement, PriorityClass, Route, RouteAccess, Service,
    ServiceKind, Team, Upstream, UpstreamState,
};
use crate::codec;
use crate::ident;

/// An item of a bundle, which has a section of its own in the text form.
pub(crate) trait SectionItem {
    /// Returns the header of the section, without brackets.
    fn header(&self) -> String;
    /// Returns all keys of the section with their values, in canonical order.
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
            PriorityClass::Urgent => "urgent",
            PriorityClass::Ordinary => "ordinary",
        };
        let access = match self.access {
            RouteAccess::Open => "open",
            RouteAccess::Internal => "internal",
        };
        vec![
            ("service", self.service.to_string()),
            ("class", class.to_owned()),
            ("access", access.to_owned()),
            ("idempotent", yes_or_no(self.idempotent)),
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
            ("checks-grants", yes_or_no(self.checks_grants)),
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

/// Returns the canonical text form of a bundle, from which [`super::parse`] restores the same bundle.
#[must_use]
pub fn render(bundle: &Bundle) -> String {
    let mut text = format!("[bundle]\nversion = {}\n", bundle.version);
    append_sections(&mut text, &bundle.data_centres);
    append_sections(&mut text, &bundle.services);
    append_sections(&mut text, &bundle.routes);
    append_sections(&mut text, &bundle.upstreams);
    append_sections(&mut text, &bundle.teams);
    // Sorted by name rather than by digest, so that a textual diff shows a replaced key as a change in place.
    let mut caller_keys: Vec<&CallerKey> = bundle.caller_keys.iter().collect();
    caller_keys.sort_by(|a, b| a.name.cmp(&b.name));
    append_sections(&mut text, caller_keys);
    append_sections(&mut text, &bundle.placements);
    text
}

fn append_sections<'a, T: SectionItem + 'a>(
    text: &mut String,
    items: impl IntoIterator<Item = &'a T>,
) {
    for item in items {
        // Writing to a `String` can't fail.
        _ = write!(text, "\n[{}]\n", item.header());
        for (key, value) in item.properties() {
            _ = writeln!(text, "{key} = {value}");
        }
    }
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
