//! Tests of the keeper's settings file: the sample is valid, and errors name the setting at fault.

use persimmontack::keeper::settings;

const SAMPLE: &str = include_str!("../samples/keeper.toml");

/// Guards against a sample file that a keeper rejects.
#[test]
fn the_sample_is_valid() {
    let settings = settings::KeeperSettings::parse(SAMPLE).expect("sample");
    assert_eq!(settings.vm, "vm-1");
    let defaults = settings::FailoverSettings::default();
    assert_eq!(settings.failover.silence_ms, defaults.silence_ms);
}

/// Guards against errors that do not say which key is wrong and what was expected.
#[test]
fn errors_name_the_key_the_value_and_what_was_expected() {
    for (old, new, parts) in [
        ("# drain_ms", "drian_ms", ["drian_ms", "drain_ms"]),
        (
            "\"127.0.0.1:7301\"",
            "\"nowhere\"",
            ["nowhere", "socket address"],
        ),
        (
            "# silence_ms = 600",
            "silence_ms = 100",
            ["silence_ms = 100", "recheck_ms"],
        ),
        ("\"vm-1\"", "\" \"", ["vm = \" \"", "name"]),
        ("platform = ", "# platform = ", ["platform", "missing"]),
    ] {
        let text = SAMPLE.replacen(old, new, 1);
        assert_ne!(text, SAMPLE, "{old} is not in the sample");
        let error = settings::KeeperSettings::parse(&text).expect_err(new);
        for part in parts {
            assert!(error.contains(part), "{error:?} does not name {part:?}");
        }
    }
}
