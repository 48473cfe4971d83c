//! Guards the layers of docs/design.md, section 2: an import against their order couples what has to stay apart.

use std::fs;
use std::path::Path;

/// Crates of the workspace with their layer; a crate may depend on lower layers only.
const LAYERS: [(&str, u32); 17] = [
    ("kumquat-state", 0),
    ("kumquat-coordination", 1),
    ("kumquat-protocol", 2),
    ("kumquat-transport", 3),
    ("kumquat-settings", 4),
    ("kumquatpond", 4),
    ("kumquat-daemon", 5),
    ("kumquat-router", 5),
    ("kumquat-entry", 6),
    ("kumquat-dispatch", 6),
    ("kumquatctl", 6),
    // The stand-ins know identifiers only, so that they can't share a fault with the product.
    ("kumquat-standins", 1),
    ("kumquat-spec", 6),
    ("kumquat-platform", 7),
    ("kumquat-local", 7),
    ("kumquat-demo", 8),
    ("kumquat-bench", 8),
];

/// Crates that are no part of the product; only these may depend on the stand-ins.
const APART: [&str; 5] = [
    "kumquat-standins",
    "kumquat-spec",
    "kumquat-local",
    "kumquat-demo",
    "kumquat-bench",
];

/// Crates without I/O.
const PURE: [&str; 3] = ["kumquat-state", "kumquat-coordination", "kumquat-protocol"];

/// Crates for I/O and its scheduling.
const IO: [&str; 7] = [
    "futures-util",
    "poem",
    "reqwest",
    "tokio",
    "tokio-tungstenite",
    "tokio-util",
    "hyper",
];

/// Returns the names of the crates on which a manifest depends outside of tests.
fn dependencies(manifest: &str) -> Vec<&str> {
    let mut names = Vec::new();
    let mut listed = false;
    for line in manifest.lines().map(str::trim) {
        if let Some(header) = line.strip_prefix('[') {
            let header = header.trim_end_matches(']');
            let is_dev = header.contains("dev-dependencies");
            listed = !is_dev && header.ends_with("dependencies");
            // The long form has a section for each dependency.
            if let Some((kind, name)) = header.rsplit_once('.')
                && !is_dev
                && kind.ends_with("dependencies")
            {
                names.push(name);
            }
        } else if listed && !line.is_empty() && !line.starts_with('#') {
            names.extend(line.split(['.', '=', ' ']).next());
        }
    }
    names
}

fn layer(name: &str) -> Option<u32> {
    LAYERS
        .iter()
        .find_map(|(other, layer)| (*other == name).then_some(*layer))
}

/// Returns what is wrong with the dependencies of one crate.
fn violations(name: &str, manifest: &str) -> Vec<String> {
    let Some(own) = layer(name) else {
        return vec![format!("{name} is not in the table of layers")];
    };
    let mut found = Vec::new();
    for dependency in dependencies(manifest) {
        if layer(dependency).is_some_and(|layer| layer >= own) {
            found.push(format!("{name} depends on {dependency}, which is no lower"));
        }
        if APART.contains(&dependency) && !APART.contains(&name) {
            found.push(format!(
                "{name} depends on {dependency}, which is no part of the product"
            ));
        }
        if PURE.contains(&name) && IO.contains(&dependency) {
            found.push(format!("{name} depends on {dependency}, which does I/O"));
        }
    }
    found
}

fn manifests() -> Vec<(String, String)> {
    let crates = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let mut manifests: Vec<(String, String)> = fs::read_dir(crates)
        .expect("the folder of the crates can be read")
        .filter_map(|entry| {
            let entry = entry.ok()?;
            let text = fs::read_to_string(entry.path().join("Cargo.toml")).ok()?;
            Some((entry.file_name().into_string().ok()?, text))
        })
        .collect();
    // The adapter stands apart from the crates of the product.
    let adapter = crates.join("../platform/Cargo.toml");
    let text = fs::read_to_string(adapter).expect("the adapter's manifest can be read");
    manifests.push(("kumquat-platform".to_owned(), text));
    manifests.sort();
    manifests
}

/// Guards against an import that points upwards, and against stand-ins or I/O where they don't belong.
#[test]
fn imports_point_one_way() {
    let manifests = manifests();

    let violations: Vec<String> = manifests
        .iter()
        .flat_map(|(name, manifest)| violations(name, manifest))
        .collect();

    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(
        manifests.len(),
        LAYERS.len(),
        "the table of layers names a crate that does not exist"
    );
}

/// Guards against a check that overlooks a violation because of the way in which a dependency is written.
#[test]
fn violations_are_found_in_each_form() {
    let short = "[dependencies]\nkumquat-protocol.workspace = true\n";
    let table = "[dependencies]\n# note\nkumquat-protocol = { workspace = true }\n";
    let long = "[dependencies.kumquat-protocol]\nworkspace = true\n";
    let target = "[target.'cfg(unix)'.dependencies]\nkumquat-protocol.workspace = true\n";
    let build = "[build-dependencies]\nkumquat-protocol.workspace = true\n";
    let standins = "[dependencies]\nkumquat-standins.workspace = true\n";
    let io = "[dependencies]\ntokio.workspace = true\n";
    let tests = "[dev-dependencies]\nkumquat-standins.workspace = true\n\n[dev-dependencies.tokio]\nversion = \"1\"\n";

    for manifest in [short, table, long, target, build] {
        assert_eq!(
            violations("kumquat-coordination", manifest).len(),
            1,
            "{manifest}"
        );
    }
    assert_eq!(violations("kumquat-entry", standins).len(), 1);
    assert_eq!(violations("kumquat-protocol", io).len(), 1);
    assert_eq!(violations("kumquat-coordination", tests).len(), 0);
    assert_eq!(violations("kumquat-new", "").len(), 1);
}
