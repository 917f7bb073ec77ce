/** Tables that several parts read. */

/** Heartbeats of the daemons; all its rows stand in the empty partition. */
export const MEMBER_TABLE = 'members';
