//! Addresses of instances that callers are given.

use std::net::IpAddr;
use std::net::SocketAddr;

use hibiscus_membership::headroom::shares;
use hibiscus_types::DataCentre;
use hibiscus_types::hash::stable_hash;

use crate::directory::InstanceDirectory;
use crate::model::InstanceEntry;

/// Maximum number of addresses in one list; callers use no more.
const ADDRESS_LIMIT: usize = 64;

/// Minimum number of addresses in one list, if that many instances serve. A
/// caller that keeps the list still finds an instance after several have failed.
const MIN_ADDRESSES: usize = 12;

impl InstanceDirectory {
    /// Same as [`Self::addresses_for`], for a caller whose address is unknown.
    pub fn addresses(&self, near: Option<&DataCentre>) -> Vec<SocketAddr> {
        self.addresses_for(near, None)
    }

    /// Addresses of serving instances for callers. Instances in the data centre
    /// `near` come first; the order within the two groups is random. The list also
    /// has instances of other data centres: callers pick an address at random, and
    /// the near instances alone would get all of the load. If no instance is known
    /// to serve, the list has all instances, so it is never empty.
    ///
    /// An instance is listed with a probability in proportion to its capacity and its
    /// headroom, so instances of equal capacity that have room are all listed. The same `caller` gets the same
    /// instances each time, because it closes its connections to instances that a
    /// new list omits.
    pub fn addresses_for(
        &self,
        near: Option<&DataCentre>,
        caller: Option<IpAddr>,
    ) -> Vec<SocketAddr> {
        self.addresses_within(near, caller, |_data_centre| true)
    }

    /// Same as [`Self::addresses_for`], with only the instances in data centres that
    /// `allows` returns true for, unless none of these is known to serve.
    pub fn addresses_within(
        &self,
        near: Option<&DataCentre>,
        caller: Option<IpAddr>,
        allows: impl Fn(&DataCentre) -> bool,
    ) -> Vec<SocketAddr> {
        let mut listed: Vec<&InstanceEntry> = Vec::new();
        if self.ready {
            listed.push(&self.own);
        }
        for known in self.responding_others() {
            if !known.entry.shutting_down {
                listed.push(&known.entry);
            }
        }
        if listed.iter().any(|entry| allows(&entry.data_centre)) {
            listed.retain(|entry| allows(&entry.data_centre));
        }
        if listed.is_empty() {
            listed.extend(self.others.values().map(|known| &known.entry));
            listed.push(&self.own);
        }
        fastrand::shuffle(&mut listed);
        let caller = caller.map(|caller| caller.to_string());
        let draw = |entry: &&InstanceEntry| match &caller {
            Some(caller) => stable_hash(&[caller.as_bytes(), entry.name.as_str().as_bytes()]),
            None => fastrand::u64(..),
        };
        let listed = listed.into_iter();
        let listed = listed.map(|entry| (entry, self.listed_instance(entry)));
        let mut listed = shares::sample(listed.collect(), MIN_ADDRESSES, draw);
        if listed.len() > ADDRESS_LIMIT {
            // By the caller's numbers, so that its next list omits the same ones.
            listed.sort_by_cached_key(|entry| (Some(&entry.data_centre) != near, draw(entry)));
            listed.truncate(ADDRESS_LIMIT);
            fastrand::shuffle(&mut listed);
        }
        listed.sort_by_key(|entry| Some(&entry.data_centre) != near);
        listed.into_iter().map(|entry| entry.callers).collect()
    }
}
