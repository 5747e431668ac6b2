//! A gateway that ends by itself fails its seed, also where it would be started again.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;

use siskinrock_fakes::site;
use siskinrock_soak::processes::{self, Most};

/// Stands before the binary: the second gateway is killed some seconds after each of its starts.
const KILLS_ITSELF: &str = "#!/bin/sh
case $SISKINROCK_BOOT in *node-1.toml) (sleep 5; kill -9 $$) >/dev/null 2>&1 & esac
exec BINARY \"$@\"
";

#[test]
fn an_end_that_nobody_ordered_is_told_with_its_status_and_last_lines() {
    let soak = Path::new(env!("CARGO_BIN_EXE_siskinrock-soak"));
    let binary = soak.with_file_name("siskinrock");
    assert!(binary.exists(), "build the whole workspace first: cargo build --workspace");
    let folder = std::env::temp_dir().join(format!("siskinrock-ends-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let script = folder.join("gateway");
    let text = KILLS_ITSELF.replace("BINARY", &binary.display().to_string());
    fs::write(&script, text).expect("the folder can be written");
    fs::set_permissions(&script, fs::Permissions::from_mode(0o755)).expect("it was written");
    let output = Command::new(soak)
        .args(["--seeds", "1", "--first", "5", "--length-ms", "1000", "--binary"])
        .arg(&script)
        .output()
        .expect("the soak was built");
    let out = String::from_utf8_lossy(&output.stdout);
    let told = "gateway 1 ended by itself with signal: 9 (SIGKILL); its last lines:";
    assert!(!output.status.success() && out.contains(told), "{out}");
    fs::remove_dir_all(&folder).expect("it was written");
}

#[test]
fn a_process_that_is_being_loaded_is_not_judged_by_the_descriptors_of_its_parent() {
    assert!(!Most { memory_kb: 4, descriptors: 516 }.has_begun());
    assert!(Most { memory_kb: 4_096, descriptors: 516 }.has_begun());
}

#[test]
fn a_gateway_that_takes_more_than_its_machine_has_is_told() {
    let within = Most { memory_kb: 260 << 10, descriptors: 4_100 };
    assert_eq!(processes::over(within, site::MACHINE), None);
    for over in [
        Most { memory_kb: within.memory_kb + 1, ..within },
        Most { descriptors: within.descriptors + 1, ..within },
    ] {
        assert!(processes::over(over, site::MACHINE).is_some(), "{over:?}");
    }
}
