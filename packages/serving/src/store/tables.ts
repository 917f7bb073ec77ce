/** Names of tables that several modules use. */

/** Table of the daemons' heartbeats; all rows are in the partition with the empty name. */
export const MEMBER_TABLE = 'members';
