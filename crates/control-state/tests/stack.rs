//! Orders are read and ruled on, and books read, in coroutines: on a stack of 128 kB, whatever their size.

use std::thread;

use lynxstair::types::Time;
use lynxstair_control_state::config_feed::{Mirror, Steps};
use lynxstair_control_state::config_store::{Book, Change, Order, Ruling};

const STACK: usize = 128 << 10;

#[test]
fn a_large_order_needs_no_large_stack() {
    let rows: Vec<String> =
        (0..4000).map(|n| format!(r#"["r{n}","h{n}.example","/prefix-{n}/","safe","s"]"#)).collect();
    let body = format!(
        r#"{{"generation":"00000005","base-version":"00000000","routes":{{"columns":["name","host","path-prefix",
        "route-kind","service"],"rows":[{}]}},"services":{{"columns":["name"],"rows":[["s"]]}}}}"#,
        rows.join(",")
    );
    let patch = body.replace("00000000", "00000005").replacen("00000005", "00000006", 1);
    let patch = patch.replacen("\"routes\"", "\"upsert\":{\"routes\"", 1) + "}";
    let all = move || {
        let (mut book, mut steps, mut mirror) = (Book::default(), Steps::default(), Mirror::default());
        for change in [Change::Put(body.into_bytes()), Change::Patch(patch.into_bytes())] {
            let mut order = Order::new(change);
            order.read();
            let Ruling::Take(new) = book.rule(&order, &[]) else { panic!("{:?}", book.rule(&order, &[])) };
            let new = book.after(&new.written()).expect("read");
            assert!(new.configuration().is_some() && new.text().is_some());
            steps.note(&book, &new);
            book = new;
            assert!(mirror.take(Time::from_nanos(1), book.number, &steps.page(&book, mirror.have())));
        }
    };
    let done = thread::Builder::new().stack_size(STACK).spawn(all).expect("begun").join();
    assert!(done.is_ok());
}
