use super::Name;

#[test]
fn names_with_invalid_length_or_characters_are_rejected() {
    for valid in ["g1", "kampus-2.hall_a", "a", &"x".repeat(32)] {
        assert_eq!(Name::new(valid).expect("valid name").as_str(), valid);
    }
    for invalid in ["", "G1", "g 1", "g/1", "ğ1", &"x".repeat(33)] {
        assert!(Name::new(invalid).is_err(), "{invalid:?}");
    }
}
