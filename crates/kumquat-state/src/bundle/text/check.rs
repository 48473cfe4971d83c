//! The `check` module validates the rules that concern more than one section.

use super::problem::{Problem, Problems};
use super::read::{Draft, Located};
use super::scan::{Outline, Span};
use super::{
    CALLER_KEY_LIMIT, DATA_CENTRE_LIMIT, PLACEMENT_LIMIT, ROUTE_LIMIT, SERVICE_LIMIT, TEAM_LIMIT,
    UPSTREAM_LIMIT,
};
use crate::bundle::{Service, ServiceKind};
use crate::ident;

/// Reports duplicates, exceeded limits and inconsistencies between sections.
pub(super) fn check_consistency(draft: &Draft, outline: &Outline<'_>, problems: &mut Problems) {
    if !outline.spans.iter().any(|span| span.header == "bundle") {
        problems.push(Problem {
            section: "bundle".to_owned(),
            ..Problem::in_file(
                "a section [bundle] with the version",
                "add the section with version = .., the version in force plus one",
            )
        });
    }
    check_duplicate_sections(outline, problems);
    check_section_counts(outline, problems);
    check_unique(
        outline,
        "digest",
        draft
            .caller_keys
            .iter()
            .map(|key| (key.value.digest, key.section)),
        problems,
    );
    // Two upstreams with the same address would be one server that receives the load of both.
    check_unique(
        outline,
        "address",
        draft
            .upstreams
            .iter()
            .map(|upstream| (upstream.value.address, upstream.section)),
        problems,
    );
    let mut services: Vec<&Service> = draft
        .services
        .iter()
        .map(|located| &located.value)
        .collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    check_upstreams(draft, &services, outline, problems);
    check_placements(draft, &services, outline, problems);
}

fn check_duplicate_sections(outline: &Outline<'_>, problems: &mut Problems) {
    let mut sorted: Vec<&Span<'_>> = outline.spans.iter().collect();
    sorted.sort_by(|a, b| (&a.header, a.line).cmp(&(&b.header, b.line)));
    for pair in sorted.windows(2) {
        if pair[0].header == pair[1].header {
            problems.push(pair[1].problem(
                "each section once",
                format!("merge it with the section in line {}", pair[0].line),
            ));
        }
    }
}

fn check_section_counts(outline: &Outline<'_>, problems: &mut Problems) {
    let limits = [
        ("team", TEAM_LIMIT),
        ("caller-key", CALLER_KEY_LIMIT),
        ("service", SERVICE_LIMIT),
        ("route", ROUTE_LIMIT),
        ("upstream", UPSTREAM_LIMIT),
        ("data-centre", DATA_CENTRE_LIMIT),
        ("placement", PLACEMENT_LIMIT),
    ];
    for (kind, limit) in limits {
        let count = outline
            .spans
            .iter()
            .filter(|span| span.kind() == kind)
            .count();
        if count > limit {
            problems.push(Problem {
                value: Some(format!("{count} sections")),
                section: kind.to_owned(),
                ..Problem::in_file(
                    format!("at most {limit} sections of this kind"),
                    "remove sections that are no longer in use",
                )
            });
        }
    }
}

fn check_unique<T: Ord>(
    outline: &Outline<'_>,
    key: &str,
    values: impl Iterator<Item = (T, usize)>,
    problems: &mut Problems,
) {
    let mut sorted: Vec<(T, usize)> = values.collect();
    sorted.sort();
    for pair in sorted.windows(2) {
        if pair[0].0 == pair[1].0 {
            let other = &outline.spans[pair[0].1];
            let problem = outline.section(pair[1].1, problems).value_problem(
                key,
                "a value that no other section has",
                format!(
                    "section [{}] in line {} has it too",
                    other.header, other.line
                ),
            );
            problems.push(problem);
        }
    }
}

fn find_service<'a>(services: &[&'a Service], name: &ident::Service) -> Option<&'a Service> {
    let index = services
        .binary_search_by(|service| service.name.cmp(name))
        .ok()?;
    Some(services[index])
}

fn check_upstreams(
    draft: &Draft,
    services: &[&Service],
    outline: &Outline<'_>,
    problems: &mut Problems,
) {
    for Located { section, value } in &draft.upstreams {
        let Some(service) = find_service(services, &value.service) else {
            continue;
        };
        if !service.data_centres.contains(&value.data_centre) {
            let problem = outline.section(*section, problems).value_problem(
                "data-centre",
                format!("a data centre that [service {}] lists", service.name),
                "add it to the service's data-centres, or correct the upstream",
            );
            problems.push(problem);
        }
    }
}

fn check_placements(
    draft: &Draft,
    services: &[&Service],
    outline: &Outline<'_>,
    problems: &mut Problems,
) {
    let mut upstreams: Vec<_> = draft
        .upstreams
        .iter()
        .map(|located| &located.value)
        .collect();
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    for Located { section, value } in &draft.placements {
        if find_service(services, &value.service)
            .is_some_and(|service| service.kind == ServiceKind::Pool)
        {
            problems.push(outline.spans[*section].problem(
                "a keyed service",
                "remove the placement; any upstream of a pool service can answer",
            ));
        }
        let upstream = upstreams
            .binary_search_by(|upstream| upstream.name.cmp(&value.upstream))
            .map(|index| upstreams[index]);
        if upstream.is_ok_and(|upstream| upstream.service != value.service) {
            let problem = outline.section(*section, problems).value_problem(
                "upstream",
                format!("an upstream of {}", value.service),
                "choose an upstream of the placement's service",
            );
            problems.push(problem);
        }
    }
}
