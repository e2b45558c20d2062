//! Large commands and states are processed on a stack of 128 KiB, as in coroutines.

use std::thread;

use lynxstair::types::Time;
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_replica::ConfigReplica;
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;

const STACK_BYTES: usize = 128 << 10;

#[test]
fn a_large_command_needs_no_large_stack() {
    let rows: Vec<String> =
        (0..4000).map(|n| format!(r#"["r{n}","h{n}.example","/prefix-{n}/","safe","s"]"#)).collect();
    let body = format!(
        r#"{{"generation":"00000005","base-version":"00000000","routes":{{"columns":["name","host","path-prefix",
        "route-kind","service"],"rows":[{}]}},"services":{{"columns":["name"],"rows":[["s"]]}}}}"#,
        rows.join(",")
    );
    let patch = body.replace("00000000", "00000005").replacen("00000005", "00000006", 1);
    let patch = patch.replacen("\"routes\"", "\"upsert\":{\"routes\"", 1) + "}";
    let run = move || {
        let (mut store, mut deltas, mut replica) =
            (ConfigStore::default(), DeltaLog::default(), ConfigReplica::default());
        for change in [Operation::Put(body.into_bytes()), Operation::Patch(patch.into_bytes())] {
            let mut command = Command::new(change);
            command.parse();
            let CommandOutcome::Accepted(new) = store.apply(&command, &[]) else {
                panic!("{:?}", store.apply(&command, &[]))
            };
            let new = store.decode_next(&new.encode()).expect("read");
            assert!(new.configuration().is_some() && new.to_json().is_some());
            deltas.record(&store, &new);
            store = new;
            assert!(replica.apply_update(
                Time::from_nanos(1),
                store.revision,
                &deltas.encode_update(&store, replica.delta_base())
            ));
        }
    };
    let result = thread::Builder::new().stack_size(STACK_BYTES).spawn(run).expect("spawn").join();
    assert!(result.is_ok());
}
