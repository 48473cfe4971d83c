//! Guards the pure checks on what strangers send: arbitrary input gives an error, never a panic, a leak or growth.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands its inputs over by value"
)]

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;

use kumquat_entry::caller::{self, Rejection, Side};
use kumquat_entry::failures::{BURST, Failures, RATE};
use kumquat_state::bundle::{Bundle, CallerKey, PriorityClass, Route, RouteAccess, Team};
use kumquat_state::clock::Instant;
use kumquat_state::ident::Version;
use kumquat_state::secret::{Key, Pepper};
use kumquat_transport::upstream::is_plain;
use poem::http::header::{HeaderName, HeaderValue};
use poem::http::{HeaderMap, Uri};
use quickcheck::{Gen, QuickCheck, TestResult, Testable};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Seed of the caller key and of the inputs.
const SEED: u64 = 20_260_401;

/// Runs of each property.
const RUNS: u64 = 2_000;

/// Names that the checks treat in a way of their own, and some that they don't.
const NAMES: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "host",
    "kumquat-key",
    "kumquat-routing-key",
    "kumquat-team",
    "te",
    "transfer-encoding",
    "x-api-key",
    "x-other",
];

/// Headers that must not reach an upstream from a caller.
const WITHHELD: [&str; 5] = [
    "authorization",
    "connection",
    "host",
    "te",
    "transfer-encoding",
];

/// A header as quickcheck draws it: an index of its name, a value, and what the value is made of.
type Drawn = (u8, Vec<u8>, u8);

fn run<P: Testable>(property: P) {
    println!("seed {SEED}");
    let generator = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new()
        .tests(RUNS)
        .max_tests(20 * RUNS)
        .min_tests_passed(RUNS)
        .rng(generator)
        .quickcheck(property);
}

fn key() -> Key {
    Key::generate(&mut StdRng::seed_from_u64(SEED))
}

fn pepper() -> Pepper {
    Pepper::new([9; 32])
}

fn bundle() -> Bundle {
    Bundle {
        version: Version(1),
        teams: vec![Team {
            name: "hotels".parse().expect("a valid name"),
            rate: 1,
            burst: 1,
            weight: 1,
        }],
        caller_keys: vec![CallerKey {
            digest: pepper().digest(&key()),
            name: "key-hotels".parse().expect("a valid name"),
            team: "hotels".parse().expect("a valid name"),
        }],
        ..Bundle::default()
    }
}

fn route(access: RouteAccess) -> Route {
    Route {
        prefix: "/a/".to_owned(),
        service: "a".parse().expect("a valid name"),
        class: PriorityClass::Ordinary,
        access,
        idempotent: false,
    }
}

/// Builds headers from drawn ones; some of them hold the caller key.
fn headers(drawn: &[Drawn]) -> HeaderMap {
    let text = key().expose();
    let mut headers = HeaderMap::new();
    for (name, value, kind) in drawn {
        let name = NAMES[usize::from(*name) % NAMES.len()];
        let value = match kind % 6 {
            0 => [b"Bearer ", text.as_bytes()].concat(),
            1 => [value, text.as_bytes(), value].concat(),
            2 => [value, &text.as_bytes()[4..], value].concat(),
            3 => NAMES[usize::from(*kind) % NAMES.len()].as_bytes().to_vec(),
            4 => b"hotels".to_vec(),
            _ => value.clone(),
        };
        if let Ok(value) = HeaderValue::from_bytes(&value) {
            headers.append(HeaderName::from_static(name), value);
        }
    }
    headers
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

/// Guards against a caller key, a forged header of the router or a header of one connection that reaches an upstream.
#[test]
fn no_key_and_no_header_of_the_router_is_forwarded() {
    fn property(drawn: Vec<Drawn>, target: String) -> TestResult {
        let headers = headers(&drawn);
        let forwarded = caller::forwarded(&headers);
        let named: Vec<String> = headers
            .get_all("connection")
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        for (name, _) in &forwarded {
            let is_own = name.starts_with("kumquat-") || named.contains(name);
            if is_own || WITHHELD.contains(&name.as_str()) {
                return TestResult::error(format!("{name} is forwarded"));
            }
        }
        let route = route(RouteAccess::Open);
        let team = caller::team(
            &bundle(),
            &pepper(),
            &route,
            Side::Public,
            &headers,
            &target,
        );
        let secret = key().expose();
        let leaks = forwarded
            .iter()
            .any(|(_, value)| contains(value, &secret.as_bytes()[4..]));
        TestResult::from_bool(team.is_err() || !leaks)
    }
    run(property as fn(Vec<Drawn>, String) -> TestResult);
}

/// Guards against a team that runs requests without its key, or that is named by a public caller.
#[test]
fn only_the_one_valid_key_finds_a_team() {
    fn property(drawn: Vec<Drawn>, target: String) -> TestResult {
        let headers = headers(&drawn);
        let (bundle, pepper) = (bundle(), pepper());
        let find =
            |access, side| caller::team(&bundle, &pepper, &route(access), side, &headers, &target);
        let values: Vec<_> = headers.get_all("authorization").iter().collect();
        let valid = format!("Bearer {}", key().expose());
        let is_valid = values.len() == 1 && values[0].as_bytes().trim_ascii() == valid.as_bytes();
        for side in [Side::Public, Side::Internal] {
            if find(RouteAccess::Open, side).is_ok() && !is_valid {
                return TestResult::error("a team without its key");
            }
        }
        if find(RouteAccess::Internal, Side::Public) != Err(Rejection::Hidden) {
            return TestResult::error("an internal route is open");
        }
        let named = headers
            .get("kumquat-team")
            .is_some_and(|value| value == "hotels");
        TestResult::from_bool(find(RouteAccess::Internal, Side::Internal).is_ok() == named)
    }
    run(property as fn(Vec<Drawn>, String) -> TestResult);
}

/// Guards against properties that hold only because no drawn input is ever accepted.
#[test]
fn the_valid_key_alone_is_accepted() {
    let headers = headers(&[(0, Vec::new(), 0), (11, b"x".to_vec(), 5)]);

    let team = caller::team(
        &bundle(),
        &pepper(),
        &route(RouteAccess::Open),
        Side::Public,
        &headers,
        "/a/b",
    );

    assert_eq!(team.map(|team| team.to_string()), Ok("hotels".to_owned()));
}

/// Guards against a routing key that panics on odd paths, is empty, or is not part of the request.
#[test]
fn routing_keys_are_parts_of_the_request() {
    fn property(drawn: Vec<Drawn>, rest: String) -> TestResult {
        let headers = headers(&drawn);
        for path in [rest.clone(), format!("/a/{rest}")] {
            let found = caller::routing_key(&route(RouteAccess::Open), &headers, &path);
            let stated = headers.get_all("kumquat-routing-key").iter();
            let stated: Vec<_> = stated.map(HeaderValue::as_bytes).collect();
            let is_right = match (found, stated.as_slice()) {
                (Some(found), []) => !found.is_empty() && contains(path.as_bytes(), found),
                (Some(found), stated) => *stated == [found] && !found.is_empty(),
                (None, []) => true,
                (None, stated) => stated.len() > 1 || stated[0].is_empty(),
            };
            if !is_right {
                return TestResult::error(format!("{found:?} of {path:?}"));
            }
        }
        TestResult::passed()
    }
    run(property as fn(Vec<Drawn>, String) -> TestResult);
}

/// Guards against a bucket of failures that lets more through than its burst and rate.
#[test]
fn failures_are_bounded_by_burst_and_rate() {
    fn property(steps: Vec<u16>) -> bool {
        let failures = Failures::default();
        let address = IpAddr::from([192, 0, 2, 1]);
        let begun = Instant::from_millis(1_000);
        let mut now = begun;
        let mut allowed = 0;
        for step in &steps {
            now = now + Duration::from_millis(u64::from(*step % 100));
            if failures.count(now, address).is_ok() {
                allowed += 1;
            }
        }
        let refilled = begun.until(now).as_millis() * u128::from(RATE) / 1_000;
        allowed <= u128::from(BURST) + refilled
    }
    run(property as fn(Vec<u16>) -> bool);
}

/// Guards against a guesser that is refused for ever, or that gets its whole burst again at once.
#[test]
fn failures_are_forgotten_at_the_rate() {
    let failures = Failures::default();
    let address = IpAddr::from([192, 0, 2, 1]);
    let now = Instant::from_millis(1_000);
    while failures.count(now, address).is_ok() {}

    let wait = failures
        .count(now, address)
        .expect_err("the bucket is empty");
    let later = now + wait;

    assert_eq!(failures.count(later, address), Ok(()));
    failures
        .count(later, address)
        .expect_err("one failure was forgotten, not more");
}

/// Guards against a table of addresses that grows with every address that fails.
#[test]
fn the_table_of_failures_is_bounded() {
    let failures = Failures::default();
    let now = Instant::from_millis(1_000);

    for number in 0..10_000 {
        let address = Ipv4Addr::from_bits(number);
        // An address that has not failed before is never refused.
        assert_eq!(failures.count(now, address.into()), Ok(()));
    }

    assert_eq!(failures.len(), 4_096);
}

/// Guards against a caller with a whole network of IPv6 that fails from a new address each time.
#[test]
fn a_network_of_ipv6_counts_as_one_address() {
    let failures = Failures::default();
    let now = Instant::from_millis(1_000);

    for number in 0..100_u128 {
        let address = Ipv6Addr::from_bits((0x2001_0db8 << 96) + number);
        let is_allowed = failures.count(now, address.into()).is_ok();
        assert_eq!(is_allowed, number < u128::from(BURST));
    }

    assert_eq!(failures.len(), 1);
}

/// Pieces of paths that URL parsers treat in a way of their own.
const PIECES: [&str; 16] = [
    ".", "..", "/", "//", "\\", "%2e", "%2E", "%2f", "%5c", "%", "%2", "a", "?", ":", "@", "grant",
];

/// Guards against a path that passes the check and is then resolved to another one.
#[test]
fn plain_targets_stay_within_their_route() {
    fn property(drawn: Vec<u8>) -> TestResult {
        let pieces = drawn
            .iter()
            .take(5)
            .map(|piece| PIECES[usize::from(*piece) % PIECES.len()]);
        let target = format!("/a/{}", pieces.collect::<String>());
        if target.parse::<Uri>().is_err() || !is_plain(&target) {
            return TestResult::discard();
        }
        let url = reqwest::Url::parse(&format!("http://127.0.0.1:1{target}")).expect("a URL");
        let is_same_host = url.host_str() == Some("127.0.0.1") && url.port() == Some(1);
        TestResult::from_bool(is_same_host && url.path().starts_with("/a/"))
    }
    run(property as fn(Vec<u8>) -> TestResult);
}
