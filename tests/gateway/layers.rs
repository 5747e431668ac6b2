//! Who may import whom in the gateway: decisions know no shell, and what a connection, a request
//! and an attempt need is imported downwards only (docs/DESIGN.md).

use std::collections::BTreeMap;
use std::path::Path;

/// What a decision may use: data, hashes of data, other decisions, and injected randomness.
const FOR_POLICY: [&str; 14] = [
    "serde::",
    "std::borrow::",
    "std::cmp::",
    "std::collections::",
    "std::net::SocketAddr",
    "std::sync::Arc",
    "crate::decide::Random",
    "super::super::crash::",
    "super::super::fingerprint::",
    "super::super::fleet::",
    "super::super::rate::",
    "super::super::route::",
    "hdrhistogram::",
    "xxhash_rust::",
];

/// From the shell's top to its bottom; a module imports only what stands after it.
const LAYERS: [&str; 9] =
    ["server", "connection", "open", "front", "call", "stream", "traffic", "worker", "job"];

fn source(path: &Path) -> String {
    std::fs::read_to_string(path).expect("the source can be read")
}

fn gateway() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src/gateway"))
}

/// The paths that a file imports, each without its `use`.
fn imports(text: &str) -> impl Iterator<Item = &str> {
    text.lines().filter_map(|line| line.trim().strip_prefix("use "))
}

#[test]
fn decisions_import_nothing_of_the_shell() {
    for entry in std::fs::read_dir(gateway().join("policy")).expect("the folder is there") {
        let path = entry.expect("the folder can be read").path();
        for import in imports(&source(&path)) {
            let is_sibling = import.starts_with("super::") && !import.starts_with("super::super::");
            let is_allowed = is_sibling || FOR_POLICY.iter().any(|used| import.starts_with(used));
            assert!(is_allowed, "{} imports {import}", path.display());
        }
    }
}

#[test]
fn the_shell_imports_downwards_only() {
    let depth: BTreeMap<&str, usize> = LAYERS.iter().copied().zip(0..).collect();
    for (name, from) in &depth {
        let text = source(&gateway().join(format!("{name}.rs")));
        for import in imports(&text) {
            let Some(path) = import.strip_prefix("super::") else { continue };
            let modules = path.trim_matches(['{', '}', ';']).split([',', ':']).map(str::trim);
            for module in modules.filter(|module| depth.contains_key(module)) {
                assert!(depth[module] > *from, "{name} imports {module}");
            }
        }
    }
}
