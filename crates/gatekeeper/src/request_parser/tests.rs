use lynxstair_net::http::HttpError;
use lynxstair_settings::RequestBounds;

use super::{Weight, parse_weight};

#[test]
fn parses_weight_header() {
    let bad = Err(HttpError::new(400, "bad weight"));
    let bounds = RequestBounds { max_gatekeepers: 3, max_units: 4.0, operations: vec![] };
    let cases = [
        ("units=2,spread=3,first=1", Ok(Weight { units: 2.0, spread: 3.0 })),
        (" spread = 3 , units = 2.5, more=x", Ok(Weight { units: 2.5, spread: 3.0 })),
        ("units=2", Ok(Weight { units: 2.0, spread: f32::NAN })),
        ("", Ok(Weight { units: f32::NAN, spread: f32::NAN })),
        ("units=4,spread=1,first=0", Ok(Weight { units: 4.0, spread: 1.0 })),
        ("units=", bad),
        ("units=NaN", bad),
        ("units=inf", bad),
        ("units=0", bad),
        ("units=-40", bad),
        ("units=4.1", bad),
        ("units=1,units=2", bad),
        ("spread=-1", bad),
        ("spread=0", bad),
        ("spread=+2", bad),
        ("spread=2.5", bad),
        ("spread=4", bad),
        ("spread=99999999999999999999", bad),
        ("first=-1", bad),
        ("first=x", bad),
        ("first=3", bad),
    ];
    for (text, wanted) in cases {
        assert_eq!(format!("{:?}", parse_weight(text, &bounds)), format!("{wanted:?}"), "{text}");
    }
}
