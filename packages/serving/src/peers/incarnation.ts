/** Identity of one incarnation of a daemon: its host, and what each of its starts gives it anew. */
import type {PeerInfo} from '@savoryspur/schema';

/** Formats the identity of one incarnation of a daemon, as the rows of jobs name it. */
export function formatHostIncarnation(
  peer: Pick<PeerInfo, 'host' | 'incarnation'>,
): string {
  return `${peer.host}/${peer.incarnation}`;
}

/** Whether two entries are of the same incarnation of a daemon. */
export function isSameDaemon(
  one: Pick<PeerInfo, 'host' | 'incarnation'>,
  other: Pick<PeerInfo, 'host' | 'incarnation'>,
): boolean {
  return one.host === other.host && one.incarnation === other.incarnation;
}
