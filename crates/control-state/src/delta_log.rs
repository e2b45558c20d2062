//! The delta log of a controller: the names of the rows that changed between recent revisions, so that a
//! proxy with an older revision receives only these rows.

use std::collections::{BTreeSet, VecDeque};

use lynxstair_config::table::{Name, TableDiff};

use crate::config_store::ConfigStore;
use crate::config_update::{ConfigUpdate, TableDelta};

/// Maximum size of the log, in names of changed rows plus one per step.
const MAX_SIZE: usize = 4_096;

/// The changes from one committed revision to the next one that this controller observed.
#[derive(Debug)]
struct Step {
    from: u64,
    to: u64,
    tables: [TableDiff; 3],
    is_extra_changed: bool,
    is_membership_changed: bool,
}

/// The most recent steps, without gaps between their revisions.
#[derive(Debug, Default)]
pub struct DeltaLog {
    steps: VecDeque<Step>,
    /// Sum of the sizes of the steps.
    size: usize,
}

impl DeltaLog {
    /// Records that `newer` was committed after `older`. Drops earlier steps if they do not end at `older`,
    /// and all steps if the columns of a table have changed.
    pub fn record(&mut self, older: &ConfigStore, newer: &ConfigStore) {
        if self.steps.back().is_some_and(|last| last.to != older.revision) {
            self.clear();
        }
        let Some(step) = Step::between(older, newer) else { return self.clear() };
        self.size += step.size();
        self.steps.push_back(step);
        while self.size > MAX_SIZE
            && let Some(step) = self.steps.pop_front()
        {
            self.size -= step.size();
        }
    }

    fn clear(&mut self) {
        *self = DeltaLog::default();
    }

    /// Encodes the update of a proxy from revision `from` (0 for none) to that of `store`: a delta if the
    /// log covers it, otherwise a snapshot.
    pub fn encode_update(&self, store: &ConfigStore, from: u64) -> Vec<u8> {
        let update = self.delta(store, from).unwrap_or_else(|| ConfigUpdate::Snapshot {
            table: store.table().clone(),
            evacuated: store.evacuated.clone(),
            membership: (!store.membership.is_empty()).then(|| (*store.membership).clone()),
        });
        let mut out = Vec::new();
        ciborium::into_writer(&update, &mut out).expect("writing CBOR to a Vec does not fail");
        out
    }

    fn delta(&self, store: &ConfigStore, from: u64) -> Option<ConfigUpdate> {
        let first = self.steps.iter().position(|step| step.from == from)?;
        if self.steps.back()?.to != store.revision {
            return None;
        }
        let table = store.table();
        let has_new_membership = self.steps.range(first..).any(|step| step.is_membership_changed);
        Some(ConfigUpdate::Delta {
            from,
            generation: table.generation,
            extra: self.steps.range(first..).any(|s| s.is_extra_changed).then(|| table.extra.clone()),
            tables: std::array::from_fn(|n| self.table_delta(store, n, first)),
            evacuated: store.evacuated.clone(),
            digest: table.digest(),
            membership: has_new_membership.then(|| (*store.membership).clone()),
        })
    }

    /// Returns the changes of one table since a step. A changed row has its current value, not those in
    /// between.
    fn table_delta(&self, store: &ConfigStore, table: usize, first_step: usize) -> TableDelta {
        let diffs = self.steps.range(first_step..).map(|step| &step.tables[table]);
        let names: BTreeSet<&Name> =
            diffs.flat_map(|diff| diff.removed.iter().chain(&diff.changed)).collect();
        let mut delta = TableDelta::default();
        for name in names {
            match store.table().tables[table].rows().get(name) {
                Some(row) => delta.changed.push((name.to_string(), row.to_string())),
                None => delta.removed.push(name.to_string()),
            }
        }
        delta
    }
}

impl Step {
    /// Returns `None` if the columns of a table differ, so that all its rows do.
    fn between(older: &ConfigStore, newer: &ConfigStore) -> Option<Step> {
        let (old, new) = (older.table(), newer.table());
        let diffs = new.tables.iter().zip(&old.tables).map(|(new, old)| new.diff(old));
        let diffs: Vec<TableDiff> = diffs.collect::<Option<_>>()?;
        Some(Step {
            from: older.revision,
            to: newer.revision,
            tables: diffs.try_into().ok()?,
            is_extra_changed: old.extra != new.extra,
            is_membership_changed: older.membership != newer.membership,
        })
    }

    /// Returns the size that counts towards `MAX_SIZE`. An empty step counts as one because it takes memory
    /// too.
    fn size(&self) -> usize {
        1 + self.tables.iter().map(|diff| diff.removed.len() + diff.changed.len()).sum::<usize>()
    }
}
