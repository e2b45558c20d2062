//! The configuration replica of a proxy: holds one committed revision at a time and never goes back to an
//! older one.

use std::collections::BTreeSet;
use std::sync::Arc;

use lynxstair::types::Time;
use lynxstair_config::configuration::Configuration;
use lynxstair_config::table::ConfigTable;

use crate::config_update::{ConfigUpdate, TableDelta};
use crate::proxy_membership::ProxyMembership;

/// One revision of the configuration. All decisions on a request use the same version.
#[derive(Debug)]
pub struct ConfigVersion {
    /// Revision of the replicated state.
    pub revision: u64,
    /// The parsed configuration.
    pub configuration: Arc<Configuration>,
    /// Zones that receive no requests.
    pub evacuated: BTreeSet<String>,
    /// Proxies that share the slow-start permits.
    pub membership: Arc<ProxyMembership>,
}

/// The configuration state of a proxy.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    version: Option<Arc<ConfigVersion>>,
    table: ConfigTable,
    membership: Arc<ProxyMembership>,
    revision: u64,
    /// An update was malformed or did not give the expected digest.
    needs_snapshot: bool,
    /// Zones whose evacuation ended, and when it last did.
    restored: Vec<(String, Time)>,
}

impl ConfigReplica {
    /// Applies an update to `revision`. Returns `true` if the held revision has increased. Ignores an
    /// outdated update and one that is based on another revision. After a malformed update or a wrong
    /// digest, the replica needs a snapshot.
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
        // If the last table was invalid here, the current version was parsed from an earlier table.
        let older = older.filter(|(table, parsed)| table.generation == parsed.generation);
        let parsed = (table.generation > 0).then(|| Configuration::from_table_reusing(&table, older));
        // Evacuations apply even if this build rejects the configuration.
        let configuration = match parsed {
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

    /// Returns the table, evacuated zones and membership after an update, or `None` if it cannot be applied.
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
            // Based on another revision: the controller learns the held revision from the next heartbeat.
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

    /// The revision of the last applied update; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision that the next delta may be based on; 0 if a snapshot is needed.
    pub fn delta_base(&self) -> u64 {
        if self.needs_snapshot { 0 } else { self.revision }
    }

    /// The current version, or `None` before the first valid configuration.
    pub fn version(&self) -> Option<Arc<ConfigVersion>> {
        self.version.clone()
    }

    /// Returns the time at which this replica last applied the end of a zone's evacuation.
    pub fn restored_at(&self, zone: &str) -> Option<Time> {
        self.restored.iter().find(|(z, _)| z == zone).map(|(_, at)| *at)
    }
}
