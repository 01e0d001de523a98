//! Defines the actions that end a fault, or replace or restart what has stopped.

/// An action that follows a fault: it ends the fault, or replaces or restarts what has stopped.
///
/// Numbers are indices of VMs and leaves.
#[derive(Clone, Copy, Debug)]
pub(super) enum FollowUp {
    /// Resumes a suspended gateway process.
    ResumeVm(usize),
    /// Ends the faults of a gateway's link to the store.
    HealStoreLink(usize),
    /// Ends the faults of a gateway's links to all leaves.
    HealAllLinks(usize),
    /// Lets the store accept calls again.
    RestoreStore,
    /// Lets a leaf answer without faults again.
    RestoreLeafAnswer(usize),
    /// Ends the faults of the link to a leaf.
    HealLeafLink(usize),
    /// Unregisters a crashed leaf and replaces it. The first number is its slot, the second its
    /// index.
    ReplaceLeaf(usize, usize),
    /// Unregisters and stops a leaf that was leaving.
    RemoveLeaf(usize),
    /// Registers an unregistered leaf again, unless it is leaving.
    RegisterLeaf(usize),
    /// Starts the process of a gateway again.
    LaunchVm(usize),
    /// Lets a leaf name no limit any more.
    EndLimit(usize),
    /// Removes the key of the evacuation in force.
    EndEvacuation,
    /// Lets the store come back from its oldest copy.
    GoBack,
    /// Writes the routes and the registrations of all leaves again.
    RewriteStore,
}
