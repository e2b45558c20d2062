use super::Name;

#[test]
fn names_are_checked() {
    for good in ["g1", "kampus-2.hall_a", "a", &"x".repeat(32)] {
        assert_eq!(Name::new(good).expect("good").as_str(), good);
    }
    for bad in ["", "G1", "g 1", "g/1", "ğ1", &"x".repeat(33)] {
        assert!(Name::new(bad).is_err(), "{bad:?}");
    }
}
