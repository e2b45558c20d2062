//! Parsing and reloading of settings files.

use lynxstair::types::Span;
use lynxstair_config::settings::Settings;
use lynxstair_config::settings_reload::SettingsReload;

const GOOD: &str = "node-name: \"e1\"\nrole: \"x\"\nip: \"10.1.0.23\"\nzone: \"a\"\nregion: \"r\"\n\
    zones:\n  a: \"r\"\n  b: \"s\"\nbind:\n  front: \"10.1.0.23:80\"\nport-range:\n  - 7460\n  - 7475\n\
    seeds:\n  - \"10.1.0.25:83\"\nbootstrap: true\ndata-dir: null\nbeat-period-s: 1.5\nmore: [1, {x: 2}]\n\
    limits:\n  memory-mb: 260\n  max-fds: 4100\nfault-budget:\n  machines: 2\n  zones: 1\nbounds:\n  - \"drain-s=2.5\"\n  - \"revoke-final=true\"\n";

/// Valid files are read, with `bounds` as a list or on one line; errors name the invalid key.
#[test]
fn valid_files_are_read_and_errors_name_the_key() {
    let good = Settings::from_yaml(GOOD).expect("good");
    assert_eq!((good.bounds.drain, good.bounds.revoke_final), (Span::from_millis(2500), true));
    assert_eq!((good.region_of("b"), good.limits.max_fds, good.bootstrap), (Some("s"), 4100, true));
    assert_eq!((good.fault_budget_machines, good.bounds.catch_up), (2, Span::from_millis(4000)));
    let without = GOOD.replace("fault-budget:\n  machines: 2\n  zones: 1\n", "");
    assert_eq!(Settings::from_yaml(&without).expect("good").fault_budget_machines, 1);
    let line = GOOD.split("bounds:").next().expect("some").to_string() + "bounds: \"drain-s=3,grace-s=4\"\n";
    assert_eq!(Settings::from_yaml(&line).expect("good").bounds.grace, Span::from_millis(4000));
    let cases = [
        (GOOD.replace("node-name", "name"), "node-name: missing"),
        (GOOD.replace("10.1.0.25:83", "nowhere"), "seeds: nowhere is not an address"),
        (GOOD.replace("10.1.0.23:80", "80"), "bind.front: "),
        (GOOD.replace("drain-s=2.5", "drain-s=x"), "bounds.drain-s: expected a non-negative number"),
        (GOOD.replace("drain-s=2.5", "catch-up-s=-1"), "bounds.catch-up-s: expected a non-negative number"),
        (GOOD.replace("drain-s=2.5", "ack-s=soon"), "bounds.ack-s: expected a non-negative number"),
        (GOOD.replace("machines: 2", "machines: 1.5"), "fault-budget.machines: expected a whole number"),
        (GOOD.replace("machines: 2", "machines: few"), "fault-budget.machines: "),
        (GOOD.replace("  - 7475\n", ""), "port-range: expected two ports"),
        (GOOD.replace("true\ndata", "maybe\ndata"), "bootstrap: expected true or false"),
        (String::new(), "settings: empty"),
        ("a: [".to_string(), "settings: not YAML"),
    ];
    for (text, expected) in cases {
        let got = Settings::from_yaml(&text).expect_err(expected).to_string();
        assert!(got.starts_with(expected), "got {got}, expected {expected}");
    }
}

/// A changed file is read once for each change or if forced; errors name the file.
#[test]
fn changed_files_are_reloaded() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("local.yaml");
    let write = |text: &str| {
        // The file is replaced atomically.
        let new = folder.path().join("new");
        std::fs::write(&new, text).expect("written");
        std::fs::rename(&new, &path).expect("renamed");
    };
    write(GOOD);
    let mut reload = SettingsReload::new(path.display().to_string());
    assert_eq!(reload.poll(false).transpose().expect("good"), None);
    write(&GOOD.replace("10.1.0.25:83", "10.1.0.26:83"));
    let seeds = vec!["10.1.0.26:83".parse().expect("one")];
    assert_eq!(reload.poll(false).transpose().expect("good"), Some(seeds.clone()));
    assert_eq!(
        [false, true].map(|is_forced| reload.poll(is_forced).transpose().expect("good")),
        [None, Some(seeds)]
    );
    write(&GOOD.replace("10.1.0.25:83", "nowhere"));
    let error = reload.poll(false).expect("changed").expect_err("bad").to_string();
    assert!(error.contains("local.yaml: seeds: nowhere"), "{error}");
    std::fs::remove_file(&path).expect("removed");
    assert!(reload.poll(false).is_some_and(|r| r.is_err()) && reload.poll(false).is_none());
}
