//! Who decides on the members of the control group.

/// Whether operators name the members, or VMs join and are replaced by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipControl {
    /// Members are added and removed by commands of operators.
    Operators,
    /// VMs ask to join, and the leader retires those that others have replaced.
    Automatic,
}
