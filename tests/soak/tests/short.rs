//! A short soak with fixed seeds, and the seeds that ever failed.

use std::path::Path;
use std::process::Command;

/// Seeds that failed once stay: 3 did when a fake engine counted the runs of an earlier incarnation
/// off the count of the later one, and when a planned stop dropped the calls that came as it ended.
/// 5 is a usual one. 9307 did when instances that had just started heard of no rate, since the upstream
/// answered for other requests. 8 is one with crowds of clients that don't behave.
const SEEDS: [(u64, u64); 4] = [(3, 3_000), (5, 3_000), (9_307, 8_000), (8, 3_000)];

#[test]
fn promises_hold_under_random_faults() {
    let soak = Path::new(env!("CARGO_BIN_EXE_siskinrock-soak"));
    let binary = soak.with_file_name("siskinrock");
    assert!(binary.exists(), "build the whole workspace first: cargo build --workspace");
    for (seed, length_ms) in SEEDS {
        let output = Command::new(soak)
            .arg("--binary")
            .arg(&binary)
            .args(["--seeds", "1", "--length-ms", &length_ms.to_string()])
            .args(["--first", &seed.to_string()])
            .output()
            .expect("the soak was built");
        let out = String::from_utf8_lossy(&output.stdout);
        let err = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "seed {seed}: {out}\nstderr:\n{err}");
    }
}
