//! Keys of the slot maps that hold the decision core's state.

slotmap::new_key_type! {
    /// Key of a caller's connection to this host.
    pub struct CallerKey;
    /// Key of a statement in progress.
    pub struct StatementKey;
    /// Key of a connection from this host to an endpoint.
    pub struct ConnectionKey;
    /// Key of an endpoint known to this host.
    pub struct EndpointKey;
    /// Key of a database group known to this host.
    pub struct GroupKey;
    /// Key of a link from this host to a serving host.
    pub struct LinkKey;
    /// Key of a client account known to this host.
    pub struct AccountKey;
    /// Key of a lease that this host granted, or of a request for one.
    pub struct LeaseKey;
}
