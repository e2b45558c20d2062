//! The configuration replica of a proxy: one committed configuration at a time, never an older one.

use std::collections::BTreeSet;
use std::sync::Arc;

use lynxstair::types::Time;
use lynxstair_config::configuration::Configuration;
use lynxstair_config::table::ConfigTable;

use crate::config_update::{ConfigUpdate, TableDelta};
use crate::proxy_membership::ProxyMembership;

/// One revision, as all decisions on a request see it.
#[derive(Debug)]
pub struct ConfigVersion {
    /// The controllers' revision.
    pub revision: u64,
    /// What the configuration says.
    pub configuration: Arc<Configuration>,
    /// Zones that requests are kept out of.
    pub evacuated: BTreeSet<String>,
    /// Over which proxies whole permits are split.
    pub membership: Arc<ProxyMembership>,
}

/// What a proxy holds of the configuration.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    version: Option<Arc<ConfigVersion>>,
    table: ConfigTable,
    membership: Arc<ProxyMembership>,
    revision: u64,
    /// An update did not fit what is here: a snapshot is needed.
    needs_snapshot: bool,
    /// When the evacuation of each zone last ended.
    restored: Vec<(String, Time)>,
}

impl ConfigReplica {
    /// Takes over an update that brings `revision`. Returns whether that is newer than what was in force; then it is in
    /// force from now on.
    pub fn apply_update(&mut self, now: Time, revision: u64, update: &[u8]) -> bool {
        if revision < self.revision || revision == self.revision && !self.needs_snapshot {
            return false;
        }
        let Some((table, evacuated, membership)) = self.updated(update) else { return false };
        let is_newer = revision > self.revision;
        self.needs_snapshot = false;
        self.revision = revision;
        self.membership = membership;
        self.record_restored(now, &evacuated);
        let older = self.version.as_ref().map(|v| (&self.table, &*v.configuration));
        // Where the last table could not be read, the version in force is of one before it.
        let older = older.filter(|(table, read)| table.generation == read.generation);
        let read = (table.generation > 0).then(|| Configuration::from_table_reusing(&table, older));
        // Zones are evacuated also where the configuration of another build can't be read.
        let configuration = match read {
            Some(Ok(configuration)) => Some(Arc::new(configuration)),
            _ => self.version.as_ref().map(|v| v.configuration.clone()),
        };
        if let Some(configuration) = configuration {
            let membership = self.membership.clone();
            self.version = Some(Arc::new(ConfigVersion { revision, configuration, evacuated, membership }));
        }
        self.table = table;
        is_newer
    }

    /// The tables, evacuated zones and membership that an update makes of what is here; None where it does not fit.
    fn updated(&mut self, update: &[u8]) -> Option<(ConfigTable, BTreeSet<String>, Arc<ProxyMembership>)> {
        match ciborium::from_reader(update) {
            Err(_) => {
                self.needs_snapshot = true;
                None
            }
            Ok(ConfigUpdate::Snapshot { mut table, evacuated, membership }) => {
                table.share_rows_with(&self.table);
                Some((table, evacuated, Arc::new(membership.unwrap_or_default())))
            }
            // It builds on a revision that is not the one here: the next heartbeat tells the controller which one is.
            Ok(ConfigUpdate::Delta { from, .. }) if from != self.revision => None,
            Ok(ConfigUpdate::Delta { generation, extra, tables, evacuated, digest, membership, .. }) => {
                let table = self.patched(generation, extra, tables);
                if table.digest() != digest {
                    self.needs_snapshot = true;
                    return None;
                }
                Some((table, evacuated, membership.map_or_else(|| self.membership.clone(), Arc::new)))
            }
        }
    }

    fn patched(&self, generation: u64, extra: Option<String>, deltas: [TableDelta; 3]) -> ConfigTable {
        let mut patched = ConfigTable { generation, ..self.table.clone() };
        if let Some(extra) = extra {
            patched.extra = extra;
        }
        for (table, delta) in patched.tables.iter_mut().zip(deltas) {
            delta.removed.iter().for_each(|name| table.remove(name));
            delta.changed.into_iter().for_each(|(name, row)| table.set(&name, row.into()));
        }
        patched
    }

    fn record_restored(&mut self, now: Time, evacuated: &BTreeSet<String>) {
        let Some(old) = &self.version else { return };
        for zone in old.evacuated.difference(evacuated) {
            self.restored.retain(|(z, _)| z != zone);
            self.restored.push((zone.clone(), now));
        }
    }

    /// The revision that is held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision that deltas may build on: 0 where a snapshot is needed.
    pub fn delta_base(&self) -> u64 {
        if self.needs_snapshot { 0 } else { self.revision }
    }

    /// What is in force.
    pub fn version(&self) -> Option<Arc<ConfigVersion>> {
        self.version.clone()
    }

    /// When the evacuation of a zone last ended.
    pub fn restored_at(&self, zone: &str) -> Option<Time> {
        self.restored.iter().find(|(z, _)| z == zone).map(|(_, at)| *at)
    }
}
