use super::parse;

const VALID: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","more":{},
    "known":{"revision":4,"complete":true,"members":[]},
    "settings":{"classes":[{"name":"a"}],"packages":[{"name":"p"}],"else":1}}"#;

#[test]
fn parses_valid_and_rejects_invalid_files() {
    let cases = [
        (VALID.to_string(), None),
        (VALID.replace("\"n0\"", "4"), Some("configuration: invalid type")),
        (VALID.replace("127.0.0.1:1", "nowhere"), Some("configuration: invalid socket address")),
        (VALID.replace("8c1f", "none"), Some("configuration: seed")),
        (VALID.replace("\"a\"", "[]"), Some("settings: ")),
        (VALID.replace("\"packages\"", "\"other\""), Some("configuration: the settings name no")),
        (VALID[..40].to_string(), Some("configuration: EOF")),
        (String::new(), Some("configuration: EOF")),
    ];
    for (text, wanted) in cases {
        match (parse(text.as_bytes()), wanted) {
            (Ok(c), None) => assert_eq!((c.seed, c.known.revision, c.limits.sockets), (0x8c1f, 4, 1024)),
            (Err(e), Some(start)) => assert!(e.to_string().starts_with(start), "{text}: {e}"),
            (got, _) => panic!("{text}: {:?}, not {wanted:?}", got.err().map(|e| e.to_string())),
        }
    }
}
