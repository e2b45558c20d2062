//! The delta log of a controller: which rows changed between the newest revisions, so that a proxy that holds an older
//! one is sent these rows alone.

use std::collections::{BTreeSet, VecDeque};

use lynxstair_config::table::{Name, TableDiff};

use crate::config_store::ConfigStore;
use crate::config_update::{ConfigUpdate, TableDelta};

/// How many names of changed rows are held.
const MAX_NAMES: usize = 4_096;

/// What changed from one committed revision to the next.
#[derive(Debug)]
struct Step {
    from: u64,
    to: u64,
    tables: [TableDiff; 3],
    is_extra_changed: bool,
    is_membership_changed: bool,
}

/// The newest steps from revision to revision, without a gap.
#[derive(Debug, Default)]
pub struct DeltaLog {
    steps: VecDeque<Step>,
    names: usize,
}

impl DeltaLog {
    /// `newer` was committed after `older`.
    pub fn record(&mut self, older: &ConfigStore, newer: &ConfigStore) {
        if self.steps.back().is_some_and(|last| last.to != older.revision) {
            self.clear();
        }
        let Some(step) = Step::between(older, newer) else { return self.clear() };
        self.names += step.len();
        self.steps.push_back(step);
        while self.names > MAX_NAMES
            && let Some(step) = self.steps.pop_front()
        {
            self.names -= step.len();
        }
    }

    fn clear(&mut self) {
        *self = DeltaLog::default();
    }

    /// The encoded update that brings a proxy from revision `from` (0 for none) to this one.
    pub fn encode_update(&self, store: &ConfigStore, from: u64) -> Vec<u8> {
        let update = self.delta(store, from).unwrap_or_else(|| ConfigUpdate::Snapshot {
            table: store.table().clone(),
            evacuated: store.evacuated.clone(),
            membership: (!store.membership.is_empty()).then(|| (*store.membership).clone()),
        });
        let mut out = Vec::new();
        ciborium::into_writer(&update, &mut out).expect("an update encodes, and memory takes it");
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

    /// What changed in one table since a step. A row goes as it is now, whatever it was in between.
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
    /// None where the columns of a table differ, so that all its rows do.
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

    /// What it takes up of `MAX_NAMES`; a step without names takes memory as well.
    fn len(&self) -> usize {
        1 + self.tables.iter().map(|diff| diff.removed.len() + diff.changed.len()).sum::<usize>()
    }
}
